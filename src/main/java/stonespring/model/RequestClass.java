package stonespring.model;

/**
 * A class of requests that share a latency objective, a priority and a retry safety.
 *
 * @param latencyObjective target time from a request to its response, {@link DeciMillis}
 * @param priorityWeight value of a response within the objective, relative to other classes
 */
public record RequestClass(RetrySafety retrySafety, long latencyObjective, double priorityWeight) {}
