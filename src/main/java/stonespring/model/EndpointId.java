package stonespring.model;

/** An endpoint's name as the endpoint list gives it; passed on unaltered. */
public record EndpointId(String name) {}
