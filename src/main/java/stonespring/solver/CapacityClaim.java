package stonespring.solver;

import stonespring.model.DeciMillis;

/**
 * What one source says that an endpoint can do. A claim loses force with its age, and a source that
 * was contradicted loses credit and regains it by and by.
 */
final class CapacityClaim {
  /** DeciMillis after which half of a claim's force is left. */
  private static final double FORCE_HALF_LIFE = 5 * DeciMillis.SECOND;

  /** DeciMillis from which on a claim has no force. */
  private static final long MAX_AGE = 30 * DeciMillis.SECOND;

  /** DeciMillis after which half of the credit that a contradiction took is regained. */
  private static final double CREDIT_HALF_LIFE = 20 * DeciMillis.SECOND;

  /** Factor of the credit at each contradiction. */
  private static final double CONTRADICTION_FACTOR = 0.5;

  private double capacity = Double.NaN;
  private long madeAt;
  private double credit = 1;
  private long creditAt;

  /** Takes a claim unless a newer one is held. */
  void claim(double claimedCapacity, long made) {
    if (Double.isNaN(capacity) || made > madeAt) {
      capacity = claimedCapacity;
      madeAt = made;
    }
  }

  /** The claimed capacity, requests per second; NaN if there is none. */
  double capacity() {
    return capacity;
  }

  /** The share by which the claim counts, 0 to 1. */
  double force(long now) {
    long age = Math.max(0, now - madeAt);
    if (Double.isNaN(capacity) || age >= MAX_AGE) {
      return 0;
    }
    return credit(now) * Math.pow(0.5, age / FORCE_HALF_LIFE);
  }

  /** The claim turned out to be wrong. */
  void contradict(long now) {
    credit = credit(now) * CONTRADICTION_FACTOR;
    creditAt = now;
  }

  private double credit(long now) {
    double sinceContradiction = Math.max(0, now - creditAt);
    return 1 - (1 - credit) * Math.pow(0.5, sinceContradiction / CREDIT_HALF_LIFE);
  }
}
