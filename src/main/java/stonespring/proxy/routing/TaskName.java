package stonespring.proxy.routing;

/** A task as tables name it. */
public record TaskName(String name) {}
