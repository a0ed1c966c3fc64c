package stonespring.model;

/** Identifies another instance by its number; -1 denotes all other instances. */
public record PeerId(int number) {}
