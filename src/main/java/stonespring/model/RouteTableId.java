package stonespring.model;

/** A route table's number; in sharded fleets, a shard's number. */
public record RouteTableId(int number) {}
