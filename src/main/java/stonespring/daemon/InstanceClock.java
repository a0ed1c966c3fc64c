package stonespring.daemon;

import java.util.concurrent.TimeUnit;
import stonespring.model.DeciMillis;

/**
 * An instance's clock, in {@link DeciMillis}. It advances with the monotonic clock from the time of
 * its creation, so it never goes back and does not jump when the wall clock is set. Immutable.
 */
public final class InstanceClock {
  /**
   * The clock's time at its creation: one day, so that an endpoint that started up to a day earlier
   * has a positive start time. Its warm-up is computed from that time.
   */
  private static final long INITIAL_TIME_DECI_MILLIS =
      TimeUnit.DAYS.toSeconds(1) * DeciMillis.SECOND;

  private static final long NANOS_PER_DECI_MILLI = 100_000;
  private static final long MICROS_PER_DECI_MILLI = 100;
  private static final long DECI_MILLIS_PER_MILLI = 10;

  private final long createdAtNanos = System.nanoTime();
  private final long unixOffset =
      System.currentTimeMillis() * DECI_MILLIS_PER_MILLI - INITIAL_TIME_DECI_MILLIS;

  public long now() {
    return INITIAL_TIME_DECI_MILLIS + (System.nanoTime() - createdAtNanos) / NANOS_PER_DECI_MILLI;
  }

  /** Converts milliseconds to deci-milliseconds. */
  static long ofMillis(long millis) {
    return millis * DECI_MILLIS_PER_MILLI;
  }

  /** Converts deci-milliseconds to microseconds. */
  static long toMicros(long deciMillis) {
    return deciMillis * MICROS_PER_DECI_MILLI;
  }

  /** Converts deci-milliseconds to milliseconds. */
  static double toMillis(long deciMillis) {
    return deciMillis / (double) DECI_MILLIS_PER_MILLI;
  }

  /**
   * Returns the difference to subtract from a Unix time in deci-milliseconds to get this clock's
   * time.
   */
  public long unixOffset() {
    return unixOffset;
  }
}
