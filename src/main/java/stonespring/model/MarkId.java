package stonespring.model;

/** The number that proxies' answers carry back. */
public record MarkId(int number) {}
