package stonespring.solver;

import stonespring.model.DeciMillis;

/**
 * What is known of one endpoint's capacity: its listed weight, claims, and what proxies observed.
 * Rates are requests per second.
 */
final class EndpointCredibility {
  /** DeciMillis after which half of a proven rate is left. */
  private static final double PROVEN_HALF_LIFE = 60 * DeciMillis.SECOND;

  /** Share of attempts that failed or were late below which an endpoint is healthy. */
  private static final double HEALTHY_FAILURE_SHARE = 0.1;

  /** Share that failed or was late beyond the fleet's own above which an endpoint is overloaded. */
  private static final double OVERLOAD_EXCESS_FAILURE_SHARE = 0.3;

  /** Attempts without failure that are added to those seen, so that few attempts say little. */
  private static final double PRIOR_ATTEMPTS = 4;

  /** Factor of the arrived rate that the ceiling is cut to under overload. */
  private static final double OVERLOAD_CUT_FACTOR = 0.7;

  /** Relative rise of the ceiling per second while the endpoint is healthy. */
  private static final double CEILING_GROWTH_PER_SECOND = 0.05;

  private double listedWeight;
  private double provenRate;
  private double ceiling = Double.POSITIVE_INFINITY;
  private long observedAt;
  private final CapacityClaim[] claims =
      new CapacityClaim[ReportCredibility.Source.values().length];

  EndpointCredibility() {
    for (int s = 0; s < claims.length; s++) {
      claims[s] = new CapacityClaim();
    }
  }

  void setListedWeight(double weight) {
    listedWeight = weight;
  }

  /** The listed weight; 0 if the endpoint is not listed. */
  double listedWeight() {
    return listedWeight;
  }

  /** The highest rate that was answered in time, losing half of itself by and by. */
  double provenRate() {
    return provenRate;
  }

  /** The rate that it is trusted with at most, by what proxies observed. */
  double ceiling() {
    return ceiling;
  }

  CapacityClaim claim(ReportCredibility.Source source) {
    return claims[source.ordinal()];
  }

  /** All claims, by source. */
  CapacityClaim[] claims() {
    return claims;
  }

  /**
   * Takes what proxies observed.
   *
   * @param failedOrLate attempts that failed or were answered late
   * @param otherInstancesRate what reaches it besides, from proxies of other instances
   * @param fleetSuccessShare the share of all attempts in the fleet that succeed in time
   */
  void recordOutcomes(
      long attempts,
      double failedOrLate,
      long intervalDeciMillis,
      double otherInstancesRate,
      double fleetSuccessShare,
      long now) {
    double failedOrLateShare = failedOrLate / (attempts + PRIOR_ATTEMPTS);
    double arrivedRate =
        attempts * (double) DeciMillis.SECOND / Math.max(1, intervalDeciMillis)
            + otherInstancesRate;
    double succeededRate = arrivedRate * (1 - Math.min(1, failedOrLate / Math.max(1, attempts)));
    double elapsedDeciMillis = Math.max(0, now - observedAt);
    provenRate *= Math.pow(0.5, elapsedDeciMillis / PROVEN_HALF_LIFE);
    observedAt = now;
    if (failedOrLateShare < HEALTHY_FAILURE_SHARE) {
      provenRate = Math.max(provenRate, succeededRate);
      ceiling *= Math.pow(1 + CEILING_GROWTH_PER_SECOND, elapsedDeciMillis / DeciMillis.SECOND);
    } else if (1 - (1 - failedOrLateShare) / fleetSuccessShare > OVERLOAD_EXCESS_FAILURE_SHARE) {
      // In an overload, successes say too little: what arrived is cut again and again.
      ceiling = Math.min(ceiling, Math.max(succeededRate, OVERLOAD_CUT_FACTOR * arrivedRate));
      contradictClaimsAbove(arrivedRate, now);
    }
  }

  /** Who claimed more than arrived when it failed was wrong, be it stale, mistaken or a lie. */
  private void contradictClaimsAbove(double arrivedRate, long now) {
    for (CapacityClaim claim : claims) {
      if (claim.confidence(now) > 0 && claim.capacity() > arrivedRate) {
        claim.recordContradiction(now);
      }
    }
  }
}
