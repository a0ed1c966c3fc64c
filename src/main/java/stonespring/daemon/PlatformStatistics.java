package stonespring.daemon;

import stonespring.model.DeciMillis;

/**
 * Durations of batches, and delays from the first report of an interval to the commands that result
 * from it. Times are {@link DeciMillis}. Confined to the event loop.
 */
final class PlatformStatistics {
  /** Upper limit of the histograms; longer durations are recorded as this one. */
  private static final long MAX_DURATION_DECI_MILLIS = 60 * DeciMillis.SECOND;

  private static final int SIGNIFICANT_DIGITS = 2;
  private static final long NO_REPORTS = -1;

  private final DurationHistogram batchDurations =
      new DurationHistogram(MAX_DURATION_DECI_MILLIS, SIGNIFICANT_DIGITS);
  private final DurationHistogram reportToCommandDurations =
      new DurationHistogram(MAX_DURATION_DECI_MILLIS, SIGNIFICANT_DIGITS);
  private long firstReportArrivedAt = NO_REPORTS;

  /** Records that the next batch contains reports, and when the first of them arrived. */
  void recordFirstReport(long firstArrivedAt) {
    firstReportArrivedAt = firstArrivedAt;
  }

  void recordBatch(long startedAt, long endedAt) {
    batchDurations.record(endedAt - startedAt);
    if (firstReportArrivedAt != NO_REPORTS) {
      reportToCommandDurations.record(endedAt - firstReportArrivedAt);
      firstReportArrivedAt = NO_REPORTS;
    }
  }

  /** Formats both distributions for the log. */
  @Override
  public String toString() {
    return "batch duration "
        + describe(batchDurations)
        + "; delay from the first report of an interval until its commands are written "
        + describe(reportToCommandDurations);
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
