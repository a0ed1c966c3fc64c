package stonespring.solver;

import stonespring.model.DeciMillis;

/**
 * One source's claim about the capacity of an endpoint. Confidence in a claim decays with its age.
 * A source whose claim was contradicted loses credit and regains it over time. Instants are
 * deci-milliseconds.
 */
final class CapacityClaim {
  /** Half-life of the confidence in a claim, deci-milliseconds; a few report intervals. */
  private static final double CONFIDENCE_HALF_LIFE_DECI_MILLIS = 5 * DeciMillis.SECOND;

  /** Age, in deci-milliseconds, from which a claim is ignored. */
  private static final long MAX_AGE_DECI_MILLIS = 30 * DeciMillis.SECOND;

  /**
   * Time, in deci-milliseconds, after which half of the credit lost by a contradiction is regained;
   * a source is trusted again within about a minute.
   */
  private static final double CREDIT_HALF_LIFE_DECI_MILLIS = 20 * DeciMillis.SECOND;

  /** Factor applied to the credit at each contradiction. */
  private static final double CONTRADICTION_FACTOR = 0.5;

  private double capacity = Double.NaN;
  private long claimTime;

  /** Trust in the source as of the last contradiction, 0 to 1. */
  private double credit = 1;

  private long creditUpdatedAt;

  /** Replaces the claim if the new one is more recent, or if there is no claim yet. */
  void update(double claimedCapacity, long claimedAt) {
    if (Double.isNaN(capacity) || claimedAt > claimTime) {
      capacity = claimedCapacity;
      claimTime = claimedAt;
    }
  }

  /** Returns the claimed capacity, requests per second; NaN if there is none. */
  double capacity() {
    return capacity;
  }

  /** Returns the weight of the claim, 0 (ignored) to 1. */
  double confidence(long now) {
    long age = Math.max(0, now - claimTime);
    if (Double.isNaN(capacity) || age >= MAX_AGE_DECI_MILLIS) {
      return 0;
    }
    return credit(now) * Math.pow(0.5, age / CONFIDENCE_HALF_LIFE_DECI_MILLIS);
  }

  /** Records that observations contradict the claim. */
  void recordContradiction(long now) {
    credit = credit(now) * CONTRADICTION_FACTOR;
    creditUpdatedAt = now;
  }

  private double credit(long now) {
    double sinceContradiction = Math.max(0, now - creditUpdatedAt);
    return 1 - (1 - credit) * Math.pow(0.5, sinceContradiction / CREDIT_HALF_LIFE_DECI_MILLIS);
  }
}
