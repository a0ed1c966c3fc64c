package stonespring.proxy.routing;

/** An op type by its position in the settings. */
public record RequestClassIndex(int index) {}
