package stonespring.solver;

import stonespring.model.DeciMillis;

/**
 * What is known of one endpoint's capacity: its listed weight, the claims about it, and what
 * proxies observed. Rates are requests per second, instants and intervals deci-milliseconds.
 */
final class EndpointCredibility {
  /**
   * Half-life of the proven rate, deci-milliseconds; a machine's capacity changes over minutes, not
   * seconds.
   */
  private static final double PROVEN_RATE_HALF_LIFE_DECI_MILLIS = 60 * DeciMillis.SECOND;

  /**
   * Share of failed or late attempts below which an endpoint is healthy; some attempts always fail
   * or are late.
   */
  private static final double HEALTHY_FAILURE_SHARE = 0.1;

  /**
   * Excess of an endpoint's share of failed or late attempts over the fleet's share above which the
   * endpoint is overloaded; random variation produces less.
   */
  private static final double OVERLOAD_EXCESS_FAILURE_SHARE = 0.3;

  /**
   * Successful attempts that are added to those observed, so that a few failures among few attempts
   * have little effect.
   */
  private static final double PRIOR_ATTEMPTS = 4;

  /**
   * Ceiling of an overloaded endpoint as a factor of the arrived rate: one cut brings a rate that
   * was one step of an estimate (a factor of 1.25) too high below the true capacity again.
   */
  private static final double OVERLOAD_CUT_FACTOR = 0.7;

  /** Relative growth of the ceiling per second while the endpoint is healthy. */
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

  /** Returns the listed weight; 0 if the endpoint is not listed. */
  double listedWeight() {
    return listedWeight;
  }

  /** Returns the highest rate that was answered in time, decayed with its half-life. */
  double provenRate() {
    return provenRate;
  }

  /** Returns the maximum rate that observations allow; infinite until an overload is observed. */
  double ceiling() {
    return ceiling;
  }

  CapacityClaim claim(ReportCredibility.Source source) {
    return claims[source.ordinal()];
  }

  /**
   * Returns the claims, indexed by the ordinal of their source; the array is shared, not a copy.
   */
  CapacityClaim[] claims() {
    return claims;
  }

  /**
   * Updates the proven rate and the ceiling with what proxies observed in an interval.
   *
   * @param failedOrLate attempts that failed or were answered late
   * @param intervalDeciMillis length of the interval
   * @param otherInstancesRate rate that reaches the endpoint from proxies of other instances
   * @param fleetSuccessShare share of all attempts in the fleet that succeed in time, above 0
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
    provenRate *= Math.pow(0.5, elapsedDeciMillis / PROVEN_RATE_HALF_LIFE_DECI_MILLIS);
    observedAt = now;
    if (failedOrLateShare < HEALTHY_FAILURE_SHARE) {
      provenRate = Math.max(provenRate, succeededRate);
      ceiling *= Math.pow(1 + CEILING_GROWTH_PER_SECOND, elapsedDeciMillis / DeciMillis.SECOND);
    } else if (1 - (1 - failedOrLateShare) / fleetSuccessShare > OVERLOAD_EXCESS_FAILURE_SHARE) {
      // Under overload, the successes understate the capacity, so the arrived rate is cut step by
      // step instead, once per observation.
      ceiling = Math.min(ceiling, Math.max(succeededRate, OVERLOAD_CUT_FACTOR * arrivedRate));
      contradictClaimsAbove(arrivedRate, now);
    }
  }

  /**
   * Reduces the credit of every source that claimed more capacity than the rate at which the
   * endpoint was overloaded, whether the claim was stale, mistaken or false.
   */
  private void contradictClaimsAbove(double arrivedRate, long now) {
    for (CapacityClaim claim : claims) {
      if (claim.confidence(now) > 0 && claim.capacity() > arrivedRate) {
        claim.recordContradiction(now);
      }
    }
  }
}
