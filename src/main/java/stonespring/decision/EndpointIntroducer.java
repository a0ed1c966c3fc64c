package stonespring.decision;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import stonespring.model.DeciMillis;
import stonespring.model.DeterministicRandom;

/**
 * Selects the proxies whose route tables get a route to an endpoint that is new, available again or
 * idle. Each proxy is selected at random, with a probability proportional to its number of routes
 * and to the endpoint's listed weight. The new route replaces the one to the most loaded endpoint
 * of the proxy's table.
 */
final class EndpointIntroducer {
  /**
   * Factor by which the probability is multiplied for proxies in the endpoint's zone, and divided
   * for other proxies, so that a proxy in the zone is four times as likely to be selected.
   */
  private static final double SAME_ZONE_FACTOR = 2;

  /**
   * Share of the mean load ratio below which an endpoint is idle; normal variation stays above this
   * share.
   */
  private static final double IDLE_LOAD_RATIO = 0.6;

  /**
   * Minimum time between introductions of an idle endpoint, so that reports show the effect of one
   * introduction before the next.
   */
  private static final long REINTRODUCTION_INTERVAL_DECI_MILLIS = 5 * DeciMillis.SECOND;

  private final EngineClock clock;
  private final DeterministicRandom random;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final CapacityEstimator capacity;
  private final ExclusionNotifier exclusions;

  EndpointIntroducer(
      EngineClock clock,
      DeterministicRandom random,
      EndpointRegistry endpoints,
      ProxyRegistry proxies,
      CapacityEstimator capacity,
      ExclusionNotifier exclusions) {
    this.clock = clock;
    this.random = random;
    this.endpoints = endpoints;
    this.proxies = proxies;
    this.capacity = capacity;
    this.exclusions = exclusions;
  }

  /**
   * Introduces the endpoints that became ready or restarted, and the idle endpoint with the lowest
   * load ratio. Does nothing while any proxy's table is unknown: that table may name an endpoint
   * that is available again and warms up, and such an endpoint must stay excluded at that proxy.
   */
  void introduceEndpoints() {
    if (proxies.withUnknownTable().findAny().isPresent()) {
      return;
    }
    List<EndpointState> candidates = endpoints.takeNewlyReady();
    findIdlest().filter(idle -> !candidates.contains(idle)).ifPresent(candidates::add);
    for (EndpointState candidate : candidates) {
      if (candidate.isReady()) {
        introduce(candidate);
      }
    }
  }

  private void introduce(EndpointState candidate) {
    exclusions.setExcluded(candidate, false);
    candidate.markIntroduced(clock.now());
    for (ProxyState proxy : proxies.all()) {
      if (proxy.isTableAssigned() && !proxy.table().hasAppliedRouteTo(candidate)) {
        maybeReplaceRoute(proxy, candidate);
      }
    }
  }

  private void maybeReplaceRoute(ProxyState proxy, EndpointState candidate) {
    int routeCount = 0;
    EndpointState mostLoaded = null;
    for (Route route : proxy.table().routes()) {
      EndpointState endpoint = route.endpoint();
      if (!endpoint.isReady() || !route.isApplied()) {
        continue;
      }
      routeCount++;
      boolean replaceable = !proxy.replacements().containsKey(endpoint);
      if (replaceable
          && (mostLoaded == null
              || capacity.loadRatio(endpoint) > capacity.loadRatio(mostLoaded))) {
        mostLoaded = endpoint;
      }
    }
    boolean sameZone = candidate.zone() == proxy.zone();
    double zoneFactor = sameZone ? SAME_ZONE_FACTOR : 1 / SAME_ZONE_FACTOR;
    double probability =
        zoneFactor * routeCount * candidate.listedWeight() / capacity.totalListedWeight();
    // The order of the conditions matters: a number is drawn only if a route can be replaced.
    if (mostLoaded != null && random.nextDouble() < probability) {
      proxy.replacements().put(mostLoaded, candidate);
    }
  }

  /**
   * Returns the least loaded idle endpoint. Random selection left idle endpoints out of most
   * tables.
   */
  private Optional<EndpointState> findIdlest() {
    return endpoints.all().stream()
        .filter(this::isIdle)
        .min(Comparator.comparingDouble(capacity::loadRatio));
  }

  /** Whether a healthy, warm endpoint has far less load than the mean. */
  private boolean isIdle(EndpointState endpoint) {
    double failureShare = 1 - endpoint.statistics().successShare();
    return endpoint.isReady()
        && endpoints.isWarm(endpoint)
        && clock.since(endpoint.lastIntroducedAt()) > REINTRODUCTION_INTERVAL_DECI_MILLIS
        && failureShare < EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE
        && capacity.loadRatio(endpoint) < IDLE_LOAD_RATIO * capacity.meanLoadRatio();
  }
}
