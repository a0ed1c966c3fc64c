package stonespring.testbed.virtual;

/**
 * The results of one load under one policy, over all seeds.
 *
 * @param load the recording's name
 * @param policy the policy under which the load was replayed
 * @param service priority weight of requests answered within their latency objective, divided by
 *     the priority weight of all requests
 * @param difference service minus that of the first policy, compared in the same windows of the
 *     same seeds
 * @param worstWindowService the service of the worst window of a seed, averaged over seeds
 * @param averages means over seeds
 * @param peakWarmUpLoad the peak work that an endpoint received during warm-up, as a fraction of
 *     the overload limit; maximum over seeds
 */
public record ComparisonRow(
    String load,
    Policy policy,
    ConfidenceInterval service,
    ConfidenceInterval difference,
    double worstWindowService,
    Averages averages,
    double peakWarmUpLoad) {
  /**
   * Means over seeds.
   *
   * @param connections number of connections opened
   * @param routeChanges number of route changes applied by proxies
   * @param crossZoneFraction fraction of the attempts that went to another zone
   * @param secondsWithoutRoutes time without any route, summed over proxies, seconds
   */
  public record Averages(
      double connections,
      double routeChanges,
      double crossZoneFraction,
      double secondsWithoutRoutes) {}
}
