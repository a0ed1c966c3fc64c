package stonespring.proxy.routing;

/** A task as tables name it. */
public record EndpointName(String name) {}
