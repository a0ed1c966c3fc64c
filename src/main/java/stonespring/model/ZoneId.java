package stonespring.model;

/** A zone, by its position in the settings. */
public record ZoneId(int index) {}
