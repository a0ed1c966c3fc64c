package stonespring.model;

/** The number that an acknowledgement carries back. */
public record AckId(int number) {}
