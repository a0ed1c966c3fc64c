package stonespring.solver;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.ZoneId;

/**
 * The solver's input: the fleet's endpoints and proxies with their rates. Endpoints are sorted by
 * name and proxies by number, so that the order of the input does not affect the plan. Rates are
 * requests per second.
 */
public final class Problem {
  /** Exclusive upper limit for rates and weights in the input. */
  private static final double VALUE_LIMIT = 1e12;

  /** Index returned for an endpoint that is not part of the problem. */
  static final int NOT_FOUND = -1;

  /**
   * A ready endpoint.
   *
   * @param capacity rate that it is trusted to serve; above 0
   * @param maxLoad maximum rate that it may receive; infinite if the endpoint is warm
   * @param maxDemandOfProxiesWithRoute maximum total rate of all proxies that have a route to it,
   *     including what they send elsewhere; infinite if the endpoint is warm
   * @param failureShares by request class, the share of its attempts that fail, 0 to 1
   */
  public record Endpoint(
      EndpointId id,
      ZoneId zone,
      double capacity,
      double maxLoad,
      double maxDemandOfProxiesWithRoute,
      double[] failureShares) {
    /** Returns whether the endpoint has finished its warm-up. */
    public boolean isWarm() {
      return maxLoad == Double.POSITIVE_INFINITY;
    }
  }

  /** A route that a proxy holds, with an open connection. */
  public record Route(EndpointId endpoint, double weight) {}

  /**
   * A proxy.
   *
   * @param requestRates requests per second that it receives, by request class
   * @param routes routes that it currently holds
   */
  public record Proxy(ProxyId id, ZoneId zone, double[] requestRates, List<Route> routes) {
    double totalRate() {
      double sum = 0;
      for (double rate : requestRates) {
        sum += rate;
      }
      return sum;
    }
  }

  private final int zoneCount;
  private final int requestClassCount;
  private final int maxRoutes;
  private final CostModel costs;
  private final Endpoint[] endpoints;
  private final Proxy[] proxies;
  private final Map<EndpointId, Integer> indexById = new HashMap<>();

  /**
   * Creates and validates a problem.
   *
   * @param maxRoutes maximum number of routes per table; a proxy whose rate is too high for so few
   *     endpoints gets more
   * @throws IllegalArgumentException if an id occurs twice, a zone or request class is unknown, or
   *     a value is out of range
   */
  public Problem(
      int zoneCount,
      int requestClassCount,
      int maxRoutes,
      CostModel costs,
      List<Endpoint> endpoints,
      List<Proxy> proxies) {
    if (zoneCount < 1 || requestClassCount < 1 || maxRoutes < 1) {
      throw new IllegalArgumentException(
          "problem: zone count, request class count and maximum routes must be at least 1, but are "
              + zoneCount
              + ", "
              + requestClassCount
              + " and "
              + maxRoutes);
    }
    this.zoneCount = zoneCount;
    this.requestClassCount = requestClassCount;
    this.maxRoutes = maxRoutes;
    this.costs = costs;
    List<Endpoint> byName = new ArrayList<>(endpoints);
    byName.sort(Comparator.comparing(endpoint -> endpoint.id().name()));
    this.endpoints = byName.toArray(Endpoint[]::new);
    List<Proxy> byNumber = new ArrayList<>(proxies);
    byNumber.sort(Comparator.comparingInt(proxy -> proxy.id().number()));
    this.proxies = byNumber.toArray(Proxy[]::new);
    checkEndpoints();
    checkProxies();
  }

  private void checkEndpoints() {
    for (int e = 0; e < endpoints.length; e++) {
      Endpoint endpoint = endpoints[e];
      String name = "endpoint " + endpoint.id().name();
      require(indexById.put(endpoint.id(), e) == null, () -> name + " occurs twice");
      require(
          endpoint.zone().index() < zoneCount,
          () ->
              name
                  + ": zone index must be below "
                  + zoneCount
                  + ", but is "
                  + endpoint.zone().index());
      require(
          endpoint.capacity() > 0 && endpoint.capacity() < VALUE_LIMIT,
          () ->
              name
                  + ": capacity must be above 0 and below "
                  + VALUE_LIMIT
                  + ", but is "
                  + endpoint.capacity());
      require(
          endpoint.maxLoad() > 0 && endpoint.maxDemandOfProxiesWithRoute() > 0,
          () ->
              name
                  + ": maximum load and maximum demand of proxies with a route must be above 0, but are "
                  + endpoint.maxLoad()
                  + " and "
                  + endpoint.maxDemandOfProxiesWithRoute());
      require(
          endpoint.failureShares().length == requestClassCount,
          () ->
              name
                  + ": expected failure shares of "
                  + requestClassCount
                  + " request classes, but got "
                  + endpoint.failureShares().length);
      for (double share : endpoint.failureShares()) {
        require(
            share >= 0 && share <= 1,
            () -> name + ": failure share must be from 0 to 1, but is " + share);
      }
    }
  }

  private void checkProxies() {
    Set<ProxyId> seen = new HashSet<>();
    for (Proxy proxy : proxies) {
      String name = "proxy " + proxy.id().number();
      require(seen.add(proxy.id()), () -> name + " occurs twice");
      require(
          proxy.zone().index() < zoneCount,
          () ->
              name
                  + ": zone index must be below "
                  + zoneCount
                  + ", but is "
                  + proxy.zone().index());
      require(
          proxy.requestRates().length == requestClassCount,
          () ->
              name
                  + ": expected request rates of "
                  + requestClassCount
                  + " request classes, but got "
                  + proxy.requestRates().length);
      for (double rate : proxy.requestRates()) {
        require(
            rate >= 0 && rate < VALUE_LIMIT,
            () ->
                name
                    + ": request rate must be at least 0 and below "
                    + VALUE_LIMIT
                    + ", but is "
                    + rate);
      }
      for (Route route : proxy.routes()) {
        require(
            route.weight() >= 0 && route.weight() < VALUE_LIMIT,
            () ->
                name
                    + ": weight of the route to "
                    + route.endpoint().name()
                    + " must be at least 0 and below "
                    + VALUE_LIMIT
                    + ", but is "
                    + route.weight());
      }
    }
  }

  private static void require(boolean condition, Supplier<String> message) {
    if (!condition) {
      throw new IllegalArgumentException("problem: " + message.get());
    }
  }

  int zoneCount() {
    return zoneCount;
  }

  int requestClassCount() {
    return requestClassCount;
  }

  int maxRoutes() {
    return maxRoutes;
  }

  CostModel costs() {
    return costs;
  }

  int endpointCount() {
    return endpoints.length;
  }

  Endpoint endpoint(int index) {
    return endpoints[index];
  }

  /** Returns the index of an endpoint, or {@link #NOT_FOUND}. */
  int indexOf(EndpointId id) {
    return indexById.getOrDefault(id, NOT_FOUND);
  }

  int proxyCount() {
    return proxies.length;
  }

  Proxy proxy(int index) {
    return proxies[index];
  }

  /** Returns the index of a proxy's zone. */
  int zoneOfProxy(int proxy) {
    return proxies[proxy].zone().index();
  }

  /**
   * Returns how many requests are lost for each request that a zone sends to an endpoint: the share
   * of failed attempts, averaged over the request classes, plus the cost of zone crossing if the
   * endpoint is in another zone.
   */
  double routeCost(int zone, int endpoint) {
    double failures = 0;
    for (double share : endpoints[endpoint].failureShares()) {
      failures += share / requestClassCount;
    }
    boolean crossesZones = endpoints[endpoint].zone().index() != zone;
    return failures + (crossesZones ? costs.zoneCrossing() : 0);
  }
}
