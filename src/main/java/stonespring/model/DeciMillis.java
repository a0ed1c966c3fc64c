package stonespring.model;

/**
 * Time in whole tenths of a millisecond, the only unit of time that decisions see. A number of that
 * unit has no type of its own; its documentation says so.
 */
public final class DeciMillis {
  /** Deci-milliseconds in a second. */
  public static final long SECOND = 10_000;

  /** Absorbs the rounding error of a decimal number of seconds. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private DeciMillis() {}

  /** Converts seconds, rounded down. */
  public static long ofSeconds(double seconds) {
    return (long) Math.floor(seconds * SECOND + ROUNDING_TOLERANCE);
  }

  /** Converts to seconds. */
  public static double toSeconds(long deciMillis) {
    return deciMillis / (double) SECOND;
  }
}
