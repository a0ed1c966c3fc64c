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
  private static final double HEALTHY_SHARE = 0.1;

  /** Share that failed or was late beyond the fleet's own above which an endpoint is overloaded. */
  private static final double OVERLOADED_SHARE = 0.3;

  /** Attempts without failure that are added to those seen, so that few attempts say little. */
  private static final double PRIOR_ATTEMPTS = 4;

  /** Factor of the arrived rate that the ceiling is cut to under overload. */
  private static final double OVERLOAD_CUT = 0.7;

  /** Relative rise of the ceiling per second while the endpoint is healthy. */
  private static final double CEILING_RISE = 0.05;

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
   * @param otherRate what reaches it besides, from proxies of other instances
   * @param fleetSuccess the share of all attempts in the fleet that succeed in time
   */
  void observe(
      long attempts,
      double failedOrLate,
      long interval,
      double otherRate,
      double fleetSuccess,
      long now) {
    double failedOrLateShare = failedOrLate / (attempts + PRIOR_ATTEMPTS);
    double arrived = attempts * (double) DeciMillis.SECOND / Math.max(1, interval) + otherRate;
    double succeeded = arrived * (1 - Math.min(1, failedOrLate / Math.max(1, attempts)));
    double elapsed = Math.max(0, now - observedAt);
    provenRate *= Math.pow(0.5, elapsed / PROVEN_HALF_LIFE);
    observedAt = now;
    if (failedOrLateShare < HEALTHY_SHARE) {
      provenRate = Math.max(provenRate, succeeded);
      ceiling *= Math.pow(1 + CEILING_RISE, elapsed / DeciMillis.SECOND);
    } else if (1 - (1 - failedOrLateShare) / fleetSuccess > OVERLOADED_SHARE) {
      // In an overload, successes say too little: what arrived is cut again and again.
      ceiling = Math.min(ceiling, Math.max(succeeded, OVERLOAD_CUT * arrived));
      contradictClaimsOver(arrived, now);
    }
  }

  /** Who claimed more than arrived when it failed was wrong, be it stale, mistaken or a lie. */
  private void contradictClaimsOver(double arrived, long now) {
    for (CapacityClaim claim : claims) {
      if (claim.force(now) > 0 && claim.capacity() > arrived) {
        claim.contradict(now);
      }
    }
  }
}
