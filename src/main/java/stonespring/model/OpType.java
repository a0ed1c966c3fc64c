package stonespring.model;

/** One op type; times in tenths of a millisecond. */
public record OpType(Repeat repeat, long targetLatency, double benefit) {
  /** Whether an op may run again. */
  public enum Repeat {
    RETRYABLE,
    DEDUPLICATED,
    ONCE_ONLY
  }
}
