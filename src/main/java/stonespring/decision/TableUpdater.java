package stonespring.decision;

import java.util.SortedMap;
import java.util.TreeMap;

/** Sends changes of a proxy's table towards its targets, and records the load that they shift. */
final class TableUpdater {
  /** Weights are rounded to thousandths. */
  private static final double WEIGHT_STEPS_PER_UNIT = 1000;

  private final EndpointRegistry endpoints;
  private final CommandBatch batch;
  private final ChannelBudget budget;
  private final ExclusionNotifier exclusions;
  private final InFlightMoves inFlight;

  TableUpdater(
      EndpointRegistry endpoints,
      CommandBatch batch,
      ChannelBudget budget,
      ExclusionNotifier exclusions,
      InFlightMoves inFlight) {
    this.endpoints = endpoints;
    this.batch = batch;
    this.budget = budget;
    this.exclusions = exclusions;
    this.inFlight = inFlight;
  }

  /**
   * Sends part of the change from weights to targets, but removes routes to endpoints that are not
   * ready at once. A proxy with an unknown table is assigned its own table.
   *
   * @param share the part of the change, 0 to 1
   */
  void sendTable(ProxyState proxy, double share) {
    SortedMap<EndpointState, Double> rateChanges = sendRoutes(proxy, share);
    proxy.resetRoundsWaited();
    if (share >= 1) {
      proxy.replacements().values().removeIf(endpoints::isWarm);
    }
    if (proxy.isTableAssigned() && rateChanges.isEmpty()) {
      return;
    }
    if (!proxy.isTableAssigned()) {
      batch.assignTable(proxy);
      proxy.markTableAssigned();
    }
    inFlight.add(proxy, budget.batchStartPosition(), rateChanges);
  }

  private SortedMap<EndpointState, Double> sendRoutes(ProxyState proxy, double share) {
    SortedMap<EndpointState, Double> rateChanges = new TreeMap<>();
    for (Route route : proxy.table().routes()) {
      EndpointState endpoint = route.endpoint();
      double weight = roundedWeight(route, share);
      if (!Route.differsSignificantly(weight, route.weight())) {
        continue;
      }
      batch.setRoute(proxy, endpoint, weight);
      if (weight > 0) {
        exclusions.setExcluded(endpoint, false);
      }
      double weightBefore = proxy.isTableAssigned() ? route.weight() : 0;
      rateChanges.put(endpoint, proxy.averageRate() * (weight - weightBefore));
      route.setWeight(weight);
    }
    return rateChanges;
  }

  private static double roundedWeight(Route route, double share) {
    if (!route.endpoint().isReady()) {
      return 0;
    }
    double weight = route.weight() + share * (route.target() - route.weight());
    return Math.round(weight * WEIGHT_STEPS_PER_UNIT) / WEIGHT_STEPS_PER_UNIT;
  }
}
