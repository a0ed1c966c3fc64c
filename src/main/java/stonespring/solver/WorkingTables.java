package stonespring.solver;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The route tables that a plan is made of, while it is being made: for each proxy its endpoints and
 * the rate, requests per second, that it sends to each. Arrays under dense indexes, as a plan for
 * hundreds of proxies and endpoints is made every few seconds.
 */
final class WorkingTables {
  /**
   * Share of an endpoint's capacity that one proxy should fill at most; a few endpoints can't carry
   * a large proxy.
   */
  private static final double MAX_CAPACITY_SHARE_PER_PROXY = 0.25;

  private final Problem problem;
  private final int[][] endpoints;
  private final double[][] rates;
  private final double[] demand;
  private final double[] demandOfProxiesWithRoute;
  private final double[][] loadByZone;
  private final double[] load;
  private final double meanCapacity;
  private final boolean anyEndpointIsWarm;

  /** Starts with empty tables; {@link #loadCurrentRoutes} fills them. */
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

  /** Takes over the routes that proxies hold, as far as their endpoints are part of the problem. */
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

  /** The number of a proxy's routes. */
  int routeCount(int proxy) {
    return endpoints[proxy].length;
  }

  /** The endpoint of a proxy's route. */
  int endpoint(int proxy, int route) {
    return endpoints[proxy][route];
  }

  /** The rate that a proxy sends by a route. */
  double rate(int proxy, int route) {
    return rates[proxy][route];
  }

  void setRate(int proxy, int route, double rate) {
    rates[proxy][route] = rate;
  }

  /** All rates of a proxy, by route; shared, not a copy. */
  double[] rates(int proxy) {
    return rates[proxy];
  }

  void setRates(int proxy, double[] replacement) {
    rates[proxy] = replacement;
  }

  /** The rate that a proxy receives. */
  double demand(int proxy) {
    return demand[proxy];
  }

  /** Mean capacity of an endpoint. */
  double meanCapacity() {
    return meanCapacity;
  }

  boolean anyEndpointIsWarm() {
    return anyEndpointIsWarm;
  }

  /** The rate that an endpoint gets from a zone, as of the last {@link #recomputeLoads}. */
  double load(int zone, int endpoint) {
    return loadByZone[zone][endpoint];
  }

  /** The rate that an endpoint gets, as of the last {@link #recomputeLoads}. */
  double load(int endpoint) {
    return load[endpoint];
  }

  /** The rates that endpoints get; shared, not a copy. */
  double[] loads() {
    return load;
  }

  /** How many routes a proxy should have at most. */
  int maxRoutes(int proxy) {
    double routesToCarryDemand =
        Math.ceil(demand[proxy] / (MAX_CAPACITY_SHARE_PER_PROXY * meanCapacity));
    int routesByDemand = (int) Math.min(problem.endpointCount(), routesToCarryDemand);
    return Math.min(problem.endpointCount(), Math.max(problem.maxRoutes(), routesByDemand));
  }

  /**
   * Whether a proxy may get a new route to an endpoint: it has none, and the proxies with a route
   * to the endpoint, this one included, stay within the endpoint's cap.
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

  /** Removes a route; its rate goes to the others in proportion. */
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

  /** Computes the loads of all endpoints anew from the rates of all routes. */
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

  /** Requests lost a second by the tables as they are. */
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
