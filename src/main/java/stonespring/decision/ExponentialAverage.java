package stonespring.decision;

import stonespring.model.DeciMillis;

/** Computes exponentially weighted moving averages. NaN stands for an unknown value. */
final class ExponentialAverage {
  /**
   * Age at which a sample's weight is halved: short enough to show failures within seconds, long
   * enough to halve the noise.
   */
  private static final long HALF_LIFE_DECI_MILLIS = 2 * DeciMillis.SECOND;

  private ExponentialAverage() {}

  /**
   * The share of their weight that older samples keep after an interval.
   *
   * @param interval DeciMillis
   */
  static double retentionOver(double interval) {
    return Math.pow(0.5, interval / HALF_LIFE_DECI_MILLIS);
  }

  /**
   * Returns the average with a sample added. An unknown sample leaves the average as it is; an
   * unknown average is replaced by the sample.
   *
   * @param retention the weight of the old average, 0 to 1; the sample has the rest
   */
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
