package stonespring.decision;

/** The instant of the batch that is handled, as the host gives it. */
final class EngineClock {
  /** Before any instant that a host can give; differences to it do not overflow. */
  static final long NEVER = Long.MIN_VALUE / 2;

  private long now;

  EngineClock(long now) {
    this.now = now;
  }

  long now() {
    return now;
  }

  /** Time that has passed since an instant. */
  long since(long instant) {
    return now - instant;
  }

  void advanceTo(long instant) {
    now = instant;
  }
}
