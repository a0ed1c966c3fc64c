package stonespring.model;

/** Identifies a proxy by the number that it has at this instance. */
public record ProxyId(int number) {}
