package stonespring.model;

/**
 * A class of requests that are treated alike.
 *
 * @param latencyObjective when an answer is wanted, {@link DeciMillis} after the request
 * @param priorityWeight what a timely answer is worth, relative to the other classes
 */
public record RequestClass(RetrySafety retrySafety, long latencyObjective, double priorityWeight) {}
