package stonespring.model;

/** A proxy's number at this assigner. */
public record ProxyId(int number) {}
