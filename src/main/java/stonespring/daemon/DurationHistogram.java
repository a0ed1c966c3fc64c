package stonespring.daemon;

import org.HdrHistogram.Histogram;

/**
 * A histogram of durations from 0 to a maximum, in a unit of the caller's choice. Durations outside
 * that range are recorded as its nearest limit. Not thread-safe.
 */
final class DurationHistogram {
  private final Histogram histogram;
  private final long max;

  /**
   * Creates an empty histogram.
   *
   * @param max upper limit of the range, inclusive
   * @param significantDigits precision of a recorded duration, in decimal digits
   */
  DurationHistogram(long max, int significantDigits) {
    this.max = max;
    this.histogram = new Histogram(max, significantDigits);
  }

  void record(long duration) {
    histogram.recordValue(Math.min(max, Math.max(0, duration)));
  }

  /**
   * Returns the duration that {@code percentile} percent of the recorded ones do not exceed, or 0
   * if none is recorded.
   */
  long atPercentile(double percentile) {
    return histogram.getValueAtPercentile(percentile);
  }

  long max() {
    return histogram.getMaxValue();
  }

  long count() {
    return histogram.getTotalCount();
  }
}
