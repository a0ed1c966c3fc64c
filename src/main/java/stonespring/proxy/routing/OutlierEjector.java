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
  void attemptEnded(int endpoint, boolean succeeded, long now) {
    int failures = endpoints.countOutcome(endpoint, succeeded);
    int threshold = settings.ejectAfterConsecutiveFailures();
    if (threshold > 0 && failures >= threshold) {
      long range = settings.maxEjectionTime() - settings.minEjectionTime();
      endpoints.eject(
          endpoint, now + settings.minEjectionTime() + (long) (random.nextDouble() * range));
    }
  }
}
