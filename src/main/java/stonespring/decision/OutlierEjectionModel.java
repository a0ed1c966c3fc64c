package stonespring.decision;

import stonespring.model.Settings;

/**
 * Outlier ejection as proxies do it by themselves: after some consecutive failures a proxy keeps
 * away from an endpoint for some seconds, and the other routes get its requests.
 */
final class OutlierEjectionModel {
  /**
   * Seconds that an observed ejection counts for: three times a proxy's ejection time, since
   * failures are correlated.
   */
  private static final double OBSERVED_EJECTION_SECONDS = 15;

  /** Seconds that an ejection counts for while it is not reported yet. */
  private static final double WORST_EJECTION_SECONDS = 12;

  /** Share of attempts that fail under overload that is not reported yet. */
  private static final double WORST_FAILURE_SHARE = 0.8;

  private static final double MAX_WORST_FAILURE_SHARE = 0.99;

  private final Settings.RoutingRules routing;
  private final EndpointRegistry endpoints;

  OutlierEjectionModel(Settings.RoutingRules routing, EndpointRegistry endpoints) {
    this.routing = routing;
    this.endpoints = endpoints;
  }

  /**
   * The share of the time for which a proxy may eject an endpoint.
   *
   * @param trafficShare the share of the proxy's requests that the endpoint gets
   * @return 0 to 1
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
   * Seconds of ejection an attempt: the ejection time over the mean number of attempts until a run
   * of failures. For that number see Feller, <i>An Introduction to Probability Theory</i>, vol. 1,
   * XIII.7.
   */
  private double worstEjectedSecondsPerAttempt(double observedFailureShare) {
    double failureShare =
        Math.min(MAX_WORST_FAILURE_SHARE, Math.max(WORST_FAILURE_SHARE, observedFailureShare));
    double runProbability = runProbability(failureShare);
    return WORST_EJECTION_SECONDS * runProbability * (1 - failureShare) / (1 - runProbability);
  }

  private double runProbability(double failureShare) {
    return Math.pow(failureShare, routing.ejectAfterConsecutiveFailures());
  }
}
