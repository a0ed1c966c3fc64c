package stonespring.model;

/**
 * One endpoint as the endpoint list has it.
 *
 * @param weight relative capacity; no unit
 * @param startedAt when its process last started, {@link DeciMillis}; 0 for long ago
 */
public record EndpointRecord(
    EndpointId endpoint, ZoneId zone, double weight, State state, long startedAt) {
  /** Whether an endpoint takes requests. */
  public enum State {
    /** It takes requests. */
    READY,
    /** It completes what it has and takes no new requests. */
    DRAINING,
    /** It is no longer listed. */
    REMOVED
  }
}
