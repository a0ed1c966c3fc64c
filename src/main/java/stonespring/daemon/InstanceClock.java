package stonespring.daemon;

/**
 * The instance's clock, whole tenths of a millisecond that never go back: it starts at the wall
 * clock's time and then follows the monotonic one, so that a wall clock that is set does not move
 * the instance's time.
 */
public final class InstanceClock {
  // 0.1 ms, a day: a task's start before the clock's has a time above 0, which means long ago, and
  // counts as warm;
  // with a second here all that had started an hour before an assigner were cold to it.
  private static final long FIRST = 24L * 3600 * 10_000;

  private final long nanosAtStart = System.nanoTime();

  /** The wall clock's tenths at which this clock stood at 0, less what it starts with. */
  private final long unixOffset = System.currentTimeMillis() * 10 - FIRST;

  public long now() {
    return FIRST + (System.nanoTime() - nanosAtStart) / 100_000;
  }

  /**
   * What is taken off a wall clock's time, in tenths of a millisecond, for a time of this clock.
   */
  public long unixOffset() {
    return unixOffset;
  }
}
