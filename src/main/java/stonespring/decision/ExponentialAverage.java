package stonespring.decision;

import stonespring.model.DeciMillis;

/** Averages in which a sample's weight halves with its age. NaN stands for an unknown value. */
final class ExponentialAverage {
  /** DeciMillis. */
  private static final long HALF_LIFE_DECI_MILLIS = 2 * DeciMillis.SECOND;

  private ExponentialAverage() {}

  /** The weight that remains to older samples after an interval. */
  static double retentionOver(double interval) {
    return Math.pow(0.5, interval / HALF_LIFE_DECI_MILLIS);
  }

  /** Adds a sample. An unknown sample changes nothing; an unknown average becomes the sample. */
  static double update(double average, double sample, double retention) {
    if (Double.isNaN(sample)) {
      return average;
    }
    if (Double.isNaN(average)) {
      return sample;
    }
    return average * retention + (1 - retention) * sample;
  }
}
