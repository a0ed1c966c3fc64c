package stonespring.model;

/** An op type, by its position in the settings. */
public record OpTypeId(int index) {}
