package stonespring.decision;

/**
 * Holds the present instant, which the host passes with each call. It stays the same while the
 * engine handles an event or ends a batch.
 */
final class EngineClock {
  /** An instant before any that a host can pass; subtracting it from one does not overflow. */
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
