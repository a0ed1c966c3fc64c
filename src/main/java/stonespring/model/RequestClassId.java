package stonespring.model;

/** Identifies a request class by its position in the settings, from 0. */
public record RequestClassId(int index) {}
