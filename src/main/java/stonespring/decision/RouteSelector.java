package stonespring.decision;

import java.util.Map;
import java.util.Optional;
import stonespring.model.DeterministicRandom;
import stonespring.model.Settings;

/**
 * Selects the endpoints of a proxy's table. Routes to ready endpoints are kept, other routes are
 * replaced, and routes are added until the endpoints can carry the proxy's requests. The {@link
 * WeightOptimizer} sets the weights afterwards.
 */
final class RouteSelector {
  /**
   * Minimum number of routes; with fewer, one failing endpoint would get a third of a proxy's
   * requests.
   */
  private static final int MIN_ROUTES = 4;

  /** Share of the capacity of its endpoints that one proxy may use. */
  private static final double MAX_CAPACITY_SHARE = 0.3;

  /**
   * Factor by which the sampling weight of an endpoint in the proxy's zone is multiplied. With
   * three zones of equal capacity, two routes in three stay in the zone.
   */
  private static final double SAME_ZONE_FACTOR = 4;

  /**
   * Factor by which the initial weight of a route to another zone is multiplied. The initial weight
   * holds until loads are reported.
   */
  private static final double OTHER_ZONE_INITIAL_WEIGHT = 0.3;

  /** Minimum factor for free capacity, so that a fully used endpoint can still be drawn. */
  private static final double MIN_FREE_CAPACITY_FACTOR = 0.1;

  /**
   * Factor of the sampling weight of an endpoint without failures. The share of failed attempts is
   * subtracted from it, so that the factor is above 0 even if all attempts fail.
   */
  private static final double MAX_FAILURE_FACTOR = 1.02;

  private final Settings settings;
  private final DeterministicRandom random;
  private final EndpointRegistry endpoints;
  private final Estimates estimates;

  RouteSelector(
      Settings settings,
      DeterministicRandom random,
      EndpointRegistry endpoints,
      Estimates estimates) {
    this.settings = settings;
    this.random = random;
    this.endpoints = endpoints;
    this.estimates = estimates;
  }

  /**
   * Sets the targets of a proxy's table, and adds the routes that it needs. The targets sum to 1 if
   * there are any.
   */
  void selectRoutes(ProxyState proxy) {
    RouteTable table = proxy.table();
    table.removeUnapplied();
    for (Route route : table.routes()) {
      route.setTarget(route.endpoint().isReady() ? route.weight() : 0);
    }
    double keptWeight = table.targetSum();
    int routeCount = table.targetedCount();
    applyReplacements(proxy);
    if (table.routes().stream().noneMatch(this::isWarmTarget)) {
      routeCount = addWarmEndpoint(proxy, routeCount);
    }
    addRoutes(proxy, routeCount, keptWeight);
    table.normalizeTargets();
  }

  private boolean isWarmTarget(Route route) {
    return route.isTargeted() && endpoints.isWarm(route.endpoint());
  }

  /**
   * Moves the targets of routes to the endpoints that replace the current ones. While a new
   * endpoint warms up, both routes are kept. Replacements that are no longer possible are dropped.
   */
  private void applyReplacements(ProxyState proxy) {
    RouteTable table = proxy.table();
    proxy
        .replacements()
        .entrySet()
        .removeIf(
            replacement ->
                !replacement.getValue().isReady()
                    || !replacement.getKey().isReady()
                    || !table.hasAppliedRouteTo(replacement.getKey()));
    for (Map.Entry<EndpointState, EndpointState> replacement : proxy.replacements().entrySet()) {
      EndpointState newEndpoint = replacement.getValue();
      Route replaced = table.find(replacement.getKey()).orElseThrow();
      double capacityRatio =
          newEndpoint.capacity()
              / Math.max(CapacityEstimator.MIN_CAPACITY, replacement.getKey().capacity());
      double scaledTarget = replaced.target() * Math.min(1, capacityRatio);
      double currentTarget =
          table.hasAppliedRouteTo(newEndpoint)
              ? table.find(newEndpoint).orElseThrow().target()
              : Route.MIN_WEIGHT;
      Route route = table.setTarget(newEndpoint, Math.max(scaledTarget, currentTarget));
      if (endpoints.isWarm(newEndpoint)) {
        route.setTarget(Math.max(route.target(), replaced.target()));
        replaced.setTarget(0);
      }
    }
  }

  /**
   * Adds a route to a warm endpoint if one can be drawn. A table of warming endpoints alone would
   * overload them, or be empty once the {@link SlowStartGuard} removes their targets.
   *
   * @return the number of routes, including the one added
   */
  private int addWarmEndpoint(ProxyState proxy, int routeCount) {
    Optional<EndpointState> drawn = drawEndpoint(proxy, 1);
    if (drawn.isEmpty()) {
      return routeCount;
    }
    // Targets are relative. In a table without routes they are capacities in requests per second.
    // Targets of existing routes are shares of 1; with a target of 1 the warm endpoint gets as
    // much as all of them together.
    proxy.table().setTarget(drawn.get(), routeCount == 0 ? drawn.get().capacity() : 1);
    return routeCount + 1;
  }

  /**
   * Adds routes until the table has as many routes as the proxy's request rate needs, or no
   * endpoint can be drawn.
   */
  private void addRoutes(ProxyState proxy, int routeCount, double keptWeight) {
    // The capacity of warming endpoints is not known in the first rounds.
    double minWarmUp = estimates.cadence().hasEnoughRounds() ? 0 : 1;
    int wantedCount = wantedRouteCount(proxy);
    for (int count = routeCount; count < wantedCount; count++) {
      Optional<EndpointState> drawn = drawEndpoint(proxy, minWarmUp);
      if (drawn.isEmpty() && count == 0) {
        drawn = drawEndpoint(proxy, 0);
      }
      if (drawn.isEmpty()) {
        return;
      }
      EndpointState endpoint = drawn.get();
      double shareOfRemainder =
          endpoints.warmUpFraction(endpoint) * (1 - keptWeight) / Math.max(1, wantedCount - count);
      double target =
          keptWeight > 0
              ? Math.max(Route.MIN_WEIGHT, shareOfRemainder)
              : initialWeight(proxy, endpoint);
      proxy.table().setTarget(endpoint, target);
    }
  }

  private static double initialWeight(ProxyState proxy, EndpointState endpoint) {
    boolean sameZone = endpoint.zone() == proxy.zone();
    return endpoint.capacity() * (sameZone ? 1 : OTHER_ZONE_INITIAL_WEIGHT);
  }

  private int wantedRouteCount(ProxyState proxy) {
    int minRouteCount = Math.max(MIN_ROUTES, settings.routing().bootstrapRouteCount());
    double usableCapacity = MAX_CAPACITY_SHARE * estimates.capacity().meanCapacity();
    return Math.max(minRouteCount, (int) Math.ceil(proxy.averageRate() / usableCapacity));
  }

  /**
   * Draws a random endpoint for which the proxy has no target. The sampling weight depends on
   * listed weight, warm-up fraction, free capacity, zone and failures.
   *
   * @param minWarmUp the minimum warm-up fraction, 0 to 1
   * @return empty if no endpoint is eligible
   */
  private Optional<EndpointState> drawEndpoint(ProxyState proxy, double minWarmUp) {
    double[] samplingWeights = new double[endpoints.size()];
    double total = 0;
    for (EndpointState endpoint : endpoints.all()) {
      if (isEligible(endpoint, minWarmUp)) {
        samplingWeights[endpoint.index()] = samplingWeight(proxy, endpoint);
        total += samplingWeights[endpoint.index()];
      }
    }
    for (Route route : proxy.table().routes()) {
      if (route.isTargeted()) {
        total -= samplingWeights[route.endpoint().index()];
        samplingWeights[route.endpoint().index()] = 0;
      }
    }
    double remaining = random.nextDouble() * total;
    for (EndpointState endpoint : endpoints.all()) {
      double samplingWeight = samplingWeights[endpoint.index()];
      if (samplingWeight > 0) {
        remaining -= samplingWeight;
        if (remaining < 0) {
          return Optional.of(endpoint);
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether an endpoint may be drawn. An excluded endpoint must be warm, since a route to
   * it would allow it at all proxies with unknown tables. While it warms up, only {@link
   * EndpointIntroducer} brings it back, once no table is unknown.
   */
  private boolean isEligible(EndpointState endpoint, double minWarmUp) {
    double required = endpoint.isExcluded() ? 1 : minWarmUp;
    return endpoint.isReady() && endpoints.warmUpFraction(endpoint) >= required;
  }

  private double samplingWeight(ProxyState proxy, EndpointState endpoint) {
    double usableCapacity = endpoint.capacity() * estimates.traffic().share();
    double freeShare = 1 - endpoint.plannedLoad() / usableCapacity;
    double freeCapacityFactor =
        endpoint.isRemovalPending()
            ? MIN_FREE_CAPACITY_FACTOR
            : Math.max(MIN_FREE_CAPACITY_FACTOR, freeShare);
    double zoneFactor = endpoint.zone() == proxy.zone() ? SAME_ZONE_FACTOR : 1;
    double failureShare = endpoint.statistics().failureShare(proxy.zone());
    return endpoint.listedWeight()
        * endpoints.warmUpFraction(endpoint)
        * freeCapacityFactor
        * zoneFactor
        * (MAX_FAILURE_FACTOR - failureShare);
  }
}
