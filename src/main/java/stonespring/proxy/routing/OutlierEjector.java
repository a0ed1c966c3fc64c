package stonespring.proxy.routing;

import stonespring.model.DeterministicRandom;

/** Ejects an endpoint, for a random time, after failures in a row of the proxy's own attempts. */
final class OutlierEjector {
  private final RouterSettings settings;
  private final EndpointStates endpoints;
  private final DeterministicRandom random;

  OutlierEjector(RouterSettings settings, EndpointStates endpoints, DeterministicRandom random) {
    this.settings = settings;
    this.endpoints = endpoints;
    this.random = random;
  }

  /** An attempt ended. */
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
