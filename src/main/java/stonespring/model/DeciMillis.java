package stonespring.model;

/**
 * Conversions for deci-milliseconds, whole tenths of a millisecond. All times in the interface of
 * {@link DecisionEngine} have this unit, except the service time in a {@link LoadReport}. Values
 * are plain {@code long}s; their documentation states the unit.
 */
public final class DeciMillis {
  /** Deci-milliseconds in a second. */
  public static final long SECOND = 10_000;

  /**
   * Added before rounding down, in deci-milliseconds, so that the binary rounding error of a
   * decimal number of seconds does not lower the result by one.
   */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private DeciMillis() {}

  /** Converts seconds to deci-milliseconds, rounded down. */
  public static long ofSeconds(double seconds) {
    return (long) Math.floor(seconds * SECOND + ROUNDING_TOLERANCE);
  }

  /** Converts deci-milliseconds to seconds. */
  public static double toSeconds(long deciMillis) {
    return deciMillis / (double) SECOND;
  }
}
