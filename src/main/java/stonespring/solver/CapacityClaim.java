package stonespring.solver;

import stonespring.model.DeciMillis;

/**
 * What one source says that an endpoint can do. A claim loses force with its age, and a source that
 * was contradicted loses credit and regains it by and by.
 */
final class CapacityClaim {
  /** DeciMillis after which half of a claim's force is left. */
  private static final double CONFIDENCE_HALF_LIFE = 5 * DeciMillis.SECOND;

  /** DeciMillis from which on a claim has no force. */
  private static final long MAX_AGE = 30 * DeciMillis.SECOND;

  /** DeciMillis after which half of the credit that a contradiction took is regained. */
  private static final double CREDIT_HALF_LIFE = 20 * DeciMillis.SECOND;

  /** Factor of the credit at each contradiction. */
  private static final double CONTRADICTION_FACTOR = 0.5;

  private double capacity = Double.NaN;
  private long claimTime;
  private double credit = 1;
  private long creditUpdatedAt;

  /** Takes a claim unless a newer one is held. */
  void update(double claimedCapacity, long claimedAt) {
    if (Double.isNaN(capacity) || claimedAt > claimTime) {
      capacity = claimedCapacity;
      claimTime = claimedAt;
    }
  }

  /** The claimed capacity, requests per second; NaN if there is none. */
  double capacity() {
    return capacity;
  }

  /** The share by which the claim counts, 0 to 1. */
  double confidence(long now) {
    long age = Math.max(0, now - claimTime);
    if (Double.isNaN(capacity) || age >= MAX_AGE) {
      return 0;
    }
    return credit(now) * Math.pow(0.5, age / CONFIDENCE_HALF_LIFE);
  }

  /** The claim turned out to be wrong. */
  void recordContradiction(long now) {
    credit = credit(now) * CONTRADICTION_FACTOR;
    creditUpdatedAt = now;
  }

  private double credit(long now) {
    double sinceContradiction = Math.max(0, now - creditUpdatedAt);
    return 1 - (1 - credit) * Math.pow(0.5, sinceContradiction / CREDIT_HALF_LIFE);
  }
}
