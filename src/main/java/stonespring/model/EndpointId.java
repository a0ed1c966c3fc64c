package stonespring.model;

/** Identifies an endpoint by its name in the endpoint list, unchanged. */
public record EndpointId(String name) {}
