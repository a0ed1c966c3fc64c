package stonespring.daemon;

import org.HdrHistogram.Histogram;

/**
 * A histogram of durations in a unit of the caller's choice. Durations outside its range are
 * counted at the range's end. Not thread-safe.
 */
final class DurationHistogram {
  private final Histogram histogram;
  private final long max;

  /**
   * Creates an empty histogram.
   *
   * @param max the longest duration that is told apart
   * @param significantDigits decimal digits of a value that are kept
   */
  DurationHistogram(long max, int significantDigits) {
    this.max = max;
    this.histogram = new Histogram(max, significantDigits);
  }

  void record(long duration) {
    histogram.recordValue(Math.min(max, Math.max(0, duration)));
  }

  /** Returns the duration that {@code percentile} percent do not exceed; 0 if there are none. */
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
