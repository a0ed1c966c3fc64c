package stonespring.decision;

import stonespring.model.Settings;

/**
 * Models the outlier ejection that proxies do by themselves: after a number of consecutive failures
 * a proxy sends an endpoint no requests for some seconds, and uses its other routes instead.
 */
final class OutlierEjectionModel {
  /**
   * Assumed seconds of ejection after a run of observed failures: three times the ejection time of
   * a proxy, since failures are correlated.
   */
  private static final double OBSERVED_EJECTION_SECONDS = 15;

  /**
   * Assumed seconds of ejection after a run of failures that reports do not show yet. The value
   * allows for reports that are late by a third of it, and for repeated requests, which triple the
   * attempts.
   */
  private static final double WORST_EJECTION_SECONDS = 12;

  /** Assumed share of attempts that fail during an overload that reports do not show yet. */
  private static final double WORST_FAILURE_SHARE = 0.8;

  /** Upper limit of the assumed failure share; keeps the divisor above 0 if all attempts fail. */
  private static final double MAX_WORST_FAILURE_SHARE = 0.99;

  private final Settings.RoutingRules routing;
  private final EndpointRegistry endpoints;

  OutlierEjectionModel(Settings.RoutingRules routing, EndpointRegistry endpoints) {
    this.routing = routing;
    this.endpoints = endpoints;
  }

  /**
   * Returns the share of the time for which a proxy may eject an endpoint, 0 to 1.
   *
   * @param trafficShare the share of the proxy's requests that the endpoint gets
   */
  double ejectedShare(
      ProxyState proxy, EndpointState endpoint, double trafficShare, EjectionScenario scenario) {
    if (routing.ejectAfterConsecutiveFailures() == 0) {
      return 0;
    }
    double failureShare = endpoint.statistics().failureShare(proxy.zone());
    double ejectedSecondsPerAttempt;
    if (scenario == EjectionScenario.WORST_CASE) {
      ejectedSecondsPerAttempt = worstEjectedSecondsPerAttempt(failureShare);
    } else if (endpoints.isWarm(endpoint)) {
      ejectedSecondsPerAttempt = OBSERVED_EJECTION_SECONDS * runProbability(failureShare);
    } else {
      return 0;
    }
    return Math.min(1, proxy.averageRate() * trafficShare * ejectedSecondsPerAttempt);
  }

  /**
   * Returns the seconds of ejection per attempt in the worst case: the ejection time over the mean
   * number of attempts until a run of failures. For that number see Feller, <i>An Introduction to
   * Probability Theory</i>, vol. 1, XIII.7.
   */
  private double worstEjectedSecondsPerAttempt(double observedFailureShare) {
    double failureShare =
        Math.min(MAX_WORST_FAILURE_SHARE, Math.max(WORST_FAILURE_SHARE, observedFailureShare));
    double runProbability = runProbability(failureShare);
    return WORST_EJECTION_SECONDS * runProbability * (1 - failureShare) / (1 - runProbability);
  }

  /** Returns the probability that enough consecutive attempts fail to cause an ejection. */
  private double runProbability(double failureShare) {
    return Math.pow(failureShare, routing.ejectAfterConsecutiveFailures());
  }
}
