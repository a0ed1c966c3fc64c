package stonespring.proxy.routing;

import stonespring.model.DeterministicRandom;

/**
 * Ejects an endpoint, for a random time, after a configured number of consecutive failures of the
 * proxy's own attempts.
 */
final class OutlierEjector {
  private final RouterSettings settings;
  private final EndpointStates endpoints;
  private final DeterministicRandom random;

  OutlierEjector(RouterSettings settings, EndpointStates endpoints, DeterministicRandom random) {
    this.settings = settings;
    this.endpoints = endpoints;
    this.random = random;
  }

  /** Records the outcome of an attempt and ejects the endpoint if the threshold is reached. */
  void recordOutcome(int endpoint, boolean succeeded, long now) {
    int failures = endpoints.recordOutcome(endpoint, succeeded);
    int threshold = settings.ejectAfterConsecutiveFailures();
    if (threshold > 0 && failures >= threshold) {
      long rangeDeciMillis = settings.maxEjectionDeciMillis() - settings.minEjectionDeciMillis();
      endpoints.eject(
          endpoint,
          now + settings.minEjectionDeciMillis() + (long) (random.nextDouble() * rangeDeciMillis));
    }
  }
}
