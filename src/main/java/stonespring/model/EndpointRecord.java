package stonespring.model;

/**
 * An entry of the endpoint list.
 *
 * @param weight capacity relative to other endpoints; has no unit
 * @param startedAt when the process of the endpoint last started, {@link DeciMillis}; 0 if it
 *     started long ago
 */
public record EndpointRecord(
    EndpointId endpoint, ZoneId zone, double weight, State state, long startedAt) {
  /** Availability of an endpoint for requests. */
  public enum State {
    /** The endpoint accepts requests. */
    READY,
    /** The endpoint completes its requests in flight and accepts no new ones. */
    DRAINING,
    /** The endpoint is no longer in the endpoint list. */
    REMOVED
  }
}
