package stonespring.model;

/** A proxy's number at this instance. */
public record ProxyId(int number) {}
