package stonespring.model;

/** Identifies a route table by its number; in sharded fleets, the number of a shard. */
public record RouteTableId(int number) {}
