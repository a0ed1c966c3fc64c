package stonespring.model;

/** A task as the list names it; told back unaltered. */
public record TaskId(String name) {}
