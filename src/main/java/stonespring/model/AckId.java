package stonespring.model;

/** Identifies a requested acknowledgement; the proxy returns the number with it. */
public record AckId(int number) {}
