package stonespring.model;

/** A request class, by its position in the settings. */
public record RequestClassId(int index) {}
