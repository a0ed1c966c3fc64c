package stonespring.testbed.virtual;

/**
 * One load under one policy, over all seeds.
 *
 * @param load the recording's name
 * @param policy who decided
 * @param service priority weight answered within the objective over the weight requested
 * @param difference of the service from the first policy's, in the same windows of the same seeds
 * @param worstWindowService the service of a seed's worst window, mean over seeds
 * @param averages means over seeds
 * @param peakWarmUpLoad the most work that an endpoint received while it warmed up, as a fraction
 *     of what makes it fail; over all seeds
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
   * @param connections connections opened
   * @param routeChanges routes changed at proxies
   * @param crossZoneFraction fraction of the attempts that went to another zone
   * @param secondsWithoutRoutes seconds, summed over proxies, in which a proxy had no route
   */
  public record Averages(
      double connections,
      double routeChanges,
      double crossZoneFraction,
      double secondsWithoutRoutes) {}
}
