package stonespring.decision;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import stonespring.model.DeciMillis;
import stonespring.model.DeterministicRandom;

/**
 * Decides which proxies take in an endpoint that is new, has returned or is idle: each does so with
 * a chance by its number of routes, and gives up the route to its most loaded endpoint.
 */
final class EndpointIntroducer {
  /** Factor of the chance at proxies of the endpoint's zone; divides it at the others. */
  private static final double SAME_ZONE_FACTOR = 2;

  /** Share of the mean fill below which an endpoint is idle; normal variation stays above it. */
  private static final double IDLE_LOAD_RATIO = 0.6;

  /** DeciMillis between entries of an endpoint; the last one shows in reports by then. */
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
   * Lets all candidates in, unless a table is unknown: it may name an endpoint that has returned
   * and warms up, which must stay excluded there.
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
      if (proxy.isTableAssigned() && !proxy.table().holds(candidate)) {
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
    // A number is drawn only where a route can be replaced.
    if (mostLoaded != null && random.nextDouble() < probability) {
      proxy.replacements().put(mostLoaded, candidate);
    }
  }

  /** The findIdlest of the healthy endpoints that random selection left out of most tables. */
  private Optional<EndpointState> findIdlest() {
    return endpoints.all().stream()
        .filter(this::isIdle)
        .min(Comparator.comparingDouble(capacity::loadRatio));
  }

  private boolean isIdle(EndpointState endpoint) {
    double failureShare = 1 - endpoint.statistics().successShare();
    return endpoint.isReady()
        && endpoints.isWarm(endpoint)
        && clock.since(endpoint.lastIntroducedAt()) > REINTRODUCTION_INTERVAL_DECI_MILLIS
        && failureShare < EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE
        && capacity.loadRatio(endpoint) < IDLE_LOAD_RATIO * capacity.meanLoadRatio();
  }
}
