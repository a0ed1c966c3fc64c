package stonespring.solver;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The route tables of a plan under construction: for each proxy its endpoints and the rate, in
 * requests per second, that it sends to each. Stored in arrays by index, because a plan for
 * hundreds of proxies and endpoints is computed every few seconds.
 */
final class WorkingTables {
  /**
   * Maximum share of the mean endpoint's capacity that one proxy should use; few endpoints cannot
   * carry a large proxy.
   */
  private static final double MAX_CAPACITY_SHARE_PER_PROXY = 0.25;

  private final Problem problem;

  /** Endpoint indexes by proxy and route. */
  private final int[][] endpoints;

  /** Requests per second by proxy and route. */
  private final double[][] rates;

  /** Requests per second that each proxy receives. */
  private final double[] demand;

  /** By endpoint, the total demand of the proxies that have a route to it. */
  private final double[] demandOfProxiesWithRoute;

  /** Requests per second by zone and endpoint, as of the last {@link #recomputeLoads}. */
  private final double[][] loadByZone;

  /** Requests per second from all zones, by endpoint. */
  private final double[] load;

  private final double meanCapacity;
  private final boolean anyEndpointIsWarm;

  /** Creates empty tables; {@link #loadCurrentRoutes} fills them. */
  WorkingTables(Problem problem) {
    this.problem = problem;
    int endpointCount = problem.endpointCount();
    endpoints = new int[problem.proxyCount()][0];
    rates = new double[problem.proxyCount()][0];
    demand = new double[problem.proxyCount()];
    demandOfProxiesWithRoute = new double[endpointCount];
    loadByZone = new double[problem.zoneCount()][endpointCount];
    load = new double[endpointCount];
    double capacitySum = 0;
    boolean hasWarmEndpoint = false;
    for (int e = 0; e < endpointCount; e++) {
      capacitySum += problem.endpoint(e).capacity() / endpointCount;
      hasWarmEndpoint |= problem.endpoint(e).isWarm();
    }
    meanCapacity = capacitySum;
    anyEndpointIsWarm = hasWarmEndpoint;
  }

  /**
   * Loads the proxies' current routes and rates, omitting routes to endpoints that are not part of
   * the problem and routes of weight 0.
   */
  void loadCurrentRoutes() {
    for (int p = 0; p < endpoints.length; p++) {
      List<Problem.Route> current = new ArrayList<>();
      double weightSum = 0;
      for (Problem.Route route : problem.proxy(p).routes()) {
        if (problem.indexOf(route.endpoint()) != Problem.NOT_FOUND && route.weight() > 0) {
          current.add(route);
          weightSum += route.weight();
        }
      }
      demand[p] = problem.proxy(p).totalRate();
      endpoints[p] = new int[current.size()];
      rates[p] = new double[current.size()];
      for (int i = 0; i < current.size(); i++) {
        endpoints[p][i] = problem.indexOf(current.get(i).endpoint());
        rates[p][i] = demand[p] * current.get(i).weight() / weightSum;
        demandOfProxiesWithRoute[endpoints[p][i]] += demand[p];
      }
    }
  }

  int proxyCount() {
    return endpoints.length;
  }

  /** Returns the number of a proxy's routes. */
  int routeCount(int proxy) {
    return endpoints[proxy].length;
  }

  /** Returns the index of a route's endpoint. */
  int endpoint(int proxy, int route) {
    return endpoints[proxy][route];
  }

  /** Returns the rate that a proxy sends over a route. */
  double rate(int proxy, int route) {
    return rates[proxy][route];
  }

  void setRate(int proxy, int route, double rate) {
    rates[proxy][route] = rate;
  }

  /** Returns all rates of a proxy by route; the array is shared, not a copy. */
  double[] rates(int proxy) {
    return rates[proxy];
  }

  void setRates(int proxy, double[] replacement) {
    rates[proxy] = replacement;
  }

  /** Returns the rate of requests that a proxy receives. */
  double demand(int proxy) {
    return demand[proxy];
  }

  /** Returns the mean capacity of all endpoints. */
  double meanCapacity() {
    return meanCapacity;
  }

  boolean anyEndpointIsWarm() {
    return anyEndpointIsWarm;
  }

  /**
   * Returns the rate that an endpoint receives from a zone, as of the last {@link #recomputeLoads}.
   */
  double load(int zone, int endpoint) {
    return loadByZone[zone][endpoint];
  }

  /** Returns the rate that an endpoint receives, as of the last {@link #recomputeLoads}. */
  double load(int endpoint) {
    return load[endpoint];
  }

  /** Returns the rates that endpoints receive; the array is shared, not a copy. */
  double[] loads() {
    return load;
  }

  /** Returns the maximum number of routes that a proxy should have. */
  int maxRoutes(int proxy) {
    double routesToCarryDemand =
        Math.ceil(demand[proxy] / (MAX_CAPACITY_SHARE_PER_PROXY * meanCapacity));
    int routesByDemand = (int) Math.min(problem.endpointCount(), routesToCarryDemand);
    return Math.min(problem.endpointCount(), Math.max(problem.maxRoutes(), routesByDemand));
  }

  /**
   * Returns whether a proxy may get a new route to an endpoint: it has none yet, and the total rate
   * of all proxies with a route to the endpoint, including this one, stays within the endpoint's
   * limit.
   */
  boolean canAddRoute(int proxy, int endpoint) {
    double connectedDemand = demandOfProxiesWithRoute[endpoint] + demand[proxy];
    return !hasRoute(proxy, endpoint)
        && connectedDemand <= problem.endpoint(endpoint).maxDemandOfProxiesWithRoute();
  }

  private boolean hasRoute(int proxy, int endpoint) {
    for (int each : endpoints[proxy]) {
      if (each == endpoint) {
        return true;
      }
    }
    return false;
  }

  boolean hasWarmRoute(int proxy) {
    for (int endpoint : endpoints[proxy]) {
      if (problem.endpoint(endpoint).isWarm()) {
        return true;
      }
    }
    return false;
  }

  void addRoute(int proxy, int endpoint, double rate) {
    int size = endpoints[proxy].length;
    endpoints[proxy] = Arrays.copyOf(endpoints[proxy], size + 1);
    rates[proxy] = Arrays.copyOf(rates[proxy], size + 1);
    endpoints[proxy][size] = endpoint;
    rates[proxy][size] = rate;
    demandOfProxiesWithRoute[endpoint] += demand[proxy];
  }

  /**
   * Removes a route and distributes its rate over the proxy's other routes in proportion to their
   * rates.
   */
  void removeRoute(int proxy, int route) {
    double remainingDemand = demand[proxy] - rates[proxy][route];
    demandOfProxiesWithRoute[endpoints[proxy][route]] -= demand[proxy];
    int size = endpoints[proxy].length - 1;
    int[] remainingEndpoints = new int[size];
    double[] remainingRates = new double[size];
    int position = 0;
    for (int i = 0; i <= size; i++) {
      if (i != route) {
        remainingEndpoints[position] = endpoints[proxy][i];
        remainingRates[position] =
            remainingDemand > 0
                ? rates[proxy][i] * demand[proxy] / remainingDemand
                : demand[proxy] / size;
        position++;
      }
    }
    endpoints[proxy] = remainingEndpoints;
    rates[proxy] = remainingRates;
  }

  /** Recomputes the loads of all endpoints from the rates of all routes. */
  void recomputeLoads() {
    for (double[] zoneLoad : loadByZone) {
      Arrays.fill(zoneLoad, 0);
    }
    Arrays.fill(load, 0);
    for (int p = 0; p < endpoints.length; p++) {
      double[] zoneLoad = loadByZone[problem.zoneOfProxy(p)];
      for (int i = 0; i < endpoints[p].length; i++) {
        zoneLoad[endpoints[p][i]] += rates[p][i];
        load[endpoints[p][i]] += rates[p][i];
      }
    }
  }

  /** Returns the requests lost per second under the tables as they are. */
  double cost(Flow flow) {
    double cost = Flow.congestionCost(problem, load);
    for (int p = 0; p < endpoints.length; p++) {
      for (int i = 0; i < endpoints[p].length; i++) {
        cost += rates[p][i] * flow.routeCost(problem.zoneOfProxy(p), endpoints[p][i]);
      }
    }
    return cost;
  }
}
