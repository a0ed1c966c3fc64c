package stonespring.decision;

/**
 * Holds the current time, which the host passes with each call. The time stays the same while the
 * engine handles an event or ends a batch.
 */
final class EngineClock {
  /**
   * An instant before any that a host can pass. Its distance from such an instant does not overflow
   * a {@code long}.
   */
  static final long NEVER = Long.MIN_VALUE / 2;

  private long now;

  EngineClock(long now) {
    this.now = now;
  }

  long now() {
    return now;
  }

  /** The time that has elapsed since an instant, in DeciMillis. */
  long since(long instant) {
    return now - instant;
  }

  void advanceTo(long instant) {
    now = instant;
  }
}
