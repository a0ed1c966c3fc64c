package stonespring.model;

/** A table's number; at sites with slices, a slice's number. */
public record TableId(int number) {}
