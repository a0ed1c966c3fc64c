package stonespring.daemon;

import stonespring.model.DeciMillis;

/**
 * Durations of batches, and of the way from an interval's first report to the commands that follow
 * from it. Times are {@link DeciMillis}. Confined to the event loop.
 */
final class PlatformStatistics {
  private static final long MAX_DURATION = 60 * DeciMillis.SECOND;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final long NO_REPORTS = -1;

  private final DurationHistogram batches = new DurationHistogram(MAX_DURATION, SIGNIFICANT_DIGITS);
  private final DurationHistogram reportsToCommands =
      new DurationHistogram(MAX_DURATION, SIGNIFICANT_DIGITS);
  private long firstReportAt = NO_REPORTS;

  /** The next batch contains reports, of which the first arrived at this time. */
  void reportsGathered(long firstAt) {
    firstReportAt = firstAt;
  }

  void batchEnded(long startedAt, long endedAt) {
    batches.record(endedAt - startedAt);
    if (firstReportAt != NO_REPORTS) {
      reportsToCommands.record(endedAt - firstReportAt);
      firstReportAt = NO_REPORTS;
    }
  }

  /** Describes both distributions for the log. */
  @Override
  public String toString() {
    return "batches "
        + describe(batches)
        + "; from an interval's first report to the last byte of its commands "
        + describe(reportsToCommands);
  }

  private static String describe(DurationHistogram histogram) {
    return "p50 "
        + millis(histogram, 50)
        + " ms, p99 "
        + millis(histogram, 99)
        + " ms, max "
        + millis(histogram, 100)
        + " ms";
  }

  private static double millis(DurationHistogram histogram, double percentile) {
    return InstanceClock.toMillis(histogram.atPercentile(percentile));
  }
}
