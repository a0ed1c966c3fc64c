package stonespring.model;

/** Identifies a zone by its position in the settings, from 0. */
public record ZoneId(int index) {}
