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
  private static final double MAX_FILL_BY_ONE_PROXY = 0.25;

  private final Problem problem;
  private final int[][] endpoints;
  private final double[][] rates;
  private final double[] demand;
  private final double[] demandOfProxiesWithRoute;
  private final double[][] loadByZone;
  private final double[] load;
  private final double meanCapacity;
  private final boolean anyWarm;

  /** Starts with empty tables; {@link #takeOverHeldRoutes} fills them. */
  WorkingTables(Problem problem) {
    this.problem = problem;
    int endpointCount = problem.endpointCount();
    endpoints = new int[problem.proxyCount()][0];
    rates = new double[problem.proxyCount()][0];
    demand = new double[problem.proxyCount()];
    demandOfProxiesWithRoute = new double[endpointCount];
    loadByZone = new double[problem.zones()][endpointCount];
    load = new double[endpointCount];
    double capacitySum = 0;
    boolean warm = false;
    for (int e = 0; e < endpointCount; e++) {
      capacitySum += problem.endpoint(e).capacity() / endpointCount;
      warm |= problem.endpoint(e).isWarm();
    }
    meanCapacity = capacitySum;
    anyWarm = warm;
  }

  /** Takes over the routes that proxies hold, as far as their endpoints are part of the problem. */
  void takeOverHeldRoutes() {
    for (int p = 0; p < endpoints.length; p++) {
      List<Problem.Route> held = new ArrayList<>();
      double weightSum = 0;
      for (Problem.Route route : problem.proxy(p).routes()) {
        if (problem.indexOf(route.endpoint()) != Problem.UNKNOWN && route.weight() > 0) {
          held.add(route);
          weightSum += route.weight();
        }
      }
      demand[p] = problem.proxy(p).totalRate();
      endpoints[p] = new int[held.size()];
      rates[p] = new double[held.size()];
      for (int i = 0; i < held.size(); i++) {
        endpoints[p][i] = problem.indexOf(held.get(i).endpoint());
        rates[p][i] = demand[p] * held.get(i).weight() / weightSum;
        demandOfProxiesWithRoute[endpoints[p][i]] += demand[p];
      }
    }
  }

  int proxyCount() {
    return endpoints.length;
  }

  /** The number of a proxy's routes. */
  int size(int proxy) {
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
    return anyWarm;
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
    double enoughToCarry = Math.ceil(demand[proxy] / (MAX_FILL_BY_ONE_PROXY * meanCapacity));
    int large = (int) Math.min(problem.endpointCount(), enoughToCarry);
    return Math.min(problem.endpointCount(), Math.max(problem.maxRoutes(), large));
  }

  /**
   * Whether a proxy may get a new route to an endpoint: it has none, and the proxies with a route
   * to the endpoint, this one included, stay within the endpoint's cap.
   */
  boolean mayAdd(int proxy, int endpoint) {
    double total = demandOfProxiesWithRoute[endpoint] + demand[proxy];
    return !hasRoute(proxy, endpoint)
        && total <= problem.endpoint(endpoint).maxDemandOfProxiesWithRoute();
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

  void add(int proxy, int endpoint, double rate) {
    int size = endpoints[proxy].length;
    endpoints[proxy] = Arrays.copyOf(endpoints[proxy], size + 1);
    rates[proxy] = Arrays.copyOf(rates[proxy], size + 1);
    endpoints[proxy][size] = endpoint;
    rates[proxy][size] = rate;
    demandOfProxiesWithRoute[endpoint] += demand[proxy];
  }

  /** Removes a route; its rate goes to the others in proportion. */
  void remove(int proxy, int route) {
    double rest = demand[proxy] - rates[proxy][route];
    demandOfProxiesWithRoute[endpoints[proxy][route]] -= demand[proxy];
    int size = endpoints[proxy].length - 1;
    int[] remainingEndpoints = new int[size];
    double[] remainingRates = new double[size];
    int to = 0;
    for (int i = 0; i <= size; i++) {
      if (i != route) {
        remainingEndpoints[to] = endpoints[proxy][i];
        remainingRates[to] =
            rest > 0 ? rates[proxy][i] * demand[proxy] / rest : demand[proxy] / size;
        to++;
      }
    }
    endpoints[proxy] = remainingEndpoints;
    rates[proxy] = remainingRates;
  }

  /** Computes the loads of all endpoints anew from the rates of all routes. */
  void recomputeLoads() {
    for (double[] ofZone : loadByZone) {
      Arrays.fill(ofZone, 0);
    }
    Arrays.fill(load, 0);
    for (int p = 0; p < endpoints.length; p++) {
      double[] ofZone = loadByZone[problem.zoneOfProxy(p)];
      for (int i = 0; i < endpoints[p].length; i++) {
        ofZone[endpoints[p][i]] += rates[p][i];
        load[endpoints[p][i]] += rates[p][i];
      }
    }
  }

  /** Requests lost a second by the tables as they are. */
  double cost(Flow flow) {
    double cost = Flow.lateness(problem, load);
    for (int p = 0; p < endpoints.length; p++) {
      for (int i = 0; i < endpoints[p].length; i++) {
        cost += rates[p][i] * flow.routeCost(problem.zoneOfProxy(p), endpoints[p][i]);
      }
    }
    return cost;
  }
}
