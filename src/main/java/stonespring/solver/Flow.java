package stonespring.solver;

import java.util.Arrays;

/**
 * The plan without proxies and limits of routes: which rate each endpoint should get from each
 * zone. A convex flow, minimum of the endpoints' lateness and the routes' costs (Boyd and
 * Vandenberghe, Convex Optimization, section 5.2), solved zone by zone by water filling, each exact
 * while the others stand. The zones' prices give a lower bound of any plan.
 */
final class Flow {
  /** Exponent of the fill in the cost of lateness. */
  private static final double LATENESS_POWER = 6;

  /** Relative distance of a flow's cost from its lower bound at which the search ends. */
  private static final double TOLERANCE = 0.001;

  /** Most passes over all zones; convergence takes far fewer. */
  private static final int MAX_SWEEPS = 200;

  /** Highest price, as a multiple of a full endpoint's; beyond it only the caps bind. */
  private static final double MAX_PRICE_MULTIPLE = 1e6;

  /** Halvings of the price bracket; as fine as a double. */
  private static final int MAX_HALVINGS = 60;

  /** Factor by which the upper end of the bracket grows until it holds the price. */
  private static final double BRACKET_GROWTH = 4;

  /** Share of a zone's rate by which sums may differ through rounding. */
  private static final double ROUNDING_ERROR = 1e-9;

  private final Problem problem;
  private final double[] demand;
  private final double[][] routeCost;
  private final double[] load;
  private final double[] zonePrice;
  private final double[][] flow;
  private double cost;
  private double bound;

  /**
   * Solves the flow.
   *
   * @param previous the flow to start from; null to start from nothing
   */
  Flow(Problem problem, Flow previous) {
    this.problem = problem;
    int endpoints = problem.endpointCount();
    demand = new double[problem.zones()];
    routeCost = new double[problem.zones()][endpoints];
    flow = new double[problem.zones()][endpoints];
    zonePrice = new double[problem.zones()];
    load = new double[endpoints];
    for (int p = 0; p < problem.proxyCount(); p++) {
      demand[problem.zoneOfProxy(p)] += problem.proxy(p).totalRate();
    }
    for (int z = 0; z < problem.zones(); z++) {
      for (int e = 0; e < endpoints; e++) {
        routeCost[z][e] = problem.routeCost(z, e);
      }
    }
    if (previous != null && previous.problem.zones() == problem.zones()) {
      startFrom(previous);
    }
    if (endpoints > 0) {
      solve();
    }
  }

  private void startFrom(Flow previous) {
    System.arraycopy(previous.zonePrice, 0, zonePrice, 0, problem.zones());
    for (int e = 0; e < problem.endpointCount(); e++) {
      Problem.Endpoint endpoint = problem.endpoint(e);
      int before = previous.problem.indexOf(endpoint.id());
      for (int z = 0; before != Problem.UNKNOWN && z < problem.zones(); z++) {
        flow[z][e] = Math.min(previous.flow[z][before], endpoint.maxLoad() - load[e]);
        load[e] += flow[z][e];
      }
    }
  }

  private void solve() {
    for (int sweep = 0; sweep < MAX_SWEEPS; sweep++) {
      for (int z = 0; z < problem.zones(); z++) {
        fill(z);
      }
      cost = computeCost();
      bound = computeBound();
      if (cost - bound <= TOLERANCE * Math.abs(cost)) {
        return;
      }
    }
  }

  /** The rate that an endpoint takes at what is left of the price after the route's cost. */
  private double rateAtPrice(int endpoint, double priceLeft) {
    if (priceLeft <= 0) {
      return 0;
    }
    // The sixth root: LATENESS_POWER's inverse.
    double fill = Math.cbrt(Math.sqrt(priceLeft / problem.costs().congestion()));
    Problem.Endpoint of = problem.endpoint(endpoint);
    return Math.min(of.maxLoad(), of.capacity() * fill);
  }

  /** The rate that a zone places at a price, on top of the other zones' load. */
  private double placedAtPrice(int zone, double price, double[] othersLoad) {
    double sum = 0;
    for (int e = 0; e < othersLoad.length; e++) {
      sum += Math.max(0, rateAtPrice(e, price - routeCost[zone][e]) - othersLoad[e]);
    }
    return sum;
  }

  private void setFlow(int zone, double price, double[] othersLoad) {
    for (int e = 0; e < othersLoad.length; e++) {
      double own = Math.max(0, rateAtPrice(e, price - routeCost[zone][e]) - othersLoad[e]);
      flow[zone][e] = own;
      load[e] = othersLoad[e] + own;
    }
  }

  /** Places one zone's rate where the next request loses least, while the other zones' stand. */
  private void fill(int zone) {
    double[] othersLoad = new double[load.length];
    for (int e = 0; e < othersLoad.length; e++) {
      othersLoad[e] = Math.max(0, load[e] - flow[zone][e]);
    }
    zonePrice[zone] = findPrice(zone, othersLoad);
    setFlow(zone, zonePrice[zone], othersLoad);
  }

  private double findPrice(int zone, double[] othersLoad) {
    double low = 0;
    double high = Math.max(1e-6, 2 * zonePrice[zone]);
    double highest = MAX_PRICE_MULTIPLE * problem.costs().congestion();
    while (placedAtPrice(zone, high, othersLoad) < demand[zone] && high < highest) {
      low = high;
      high *= BRACKET_GROWTH;
    }
    boolean lastPriceFits = zonePrice[zone] > low && zonePrice[zone] < high;
    double guess = lastPriceFits ? zonePrice[zone] : (low + high) / 2;
    for (int i = 0; i < MAX_HALVINGS; i++) {
      double placed = placedAtPrice(zone, guess, othersLoad);
      if (Math.abs(placed - demand[zone]) <= ROUNDING_ERROR * demand[zone]) {
        break;
      }
      if (placed < demand[zone]) {
        low = guess;
      } else {
        high = guess;
      }
      // By the slope that sums follow; halved where that leaves the bracket.
      double bySlope = placed > 0 ? guess * Math.pow(demand[zone] / placed, LATENESS_POWER) : high;
      boolean useSlope = bySlope > low && bySlope < high && i < MAX_HALVINGS / 2;
      guess = useSlope ? bySlope : (low + high) / 2;
    }
    return guess;
  }

  /** Requests lost a second to lateness at endpoints that carry these loads. */
  static double lateness(Problem problem, double[] load) {
    double sum = 0;
    for (int e = 0; e < load.length; e++) {
      double capacity = problem.endpoint(e).capacity();
      double fill = load[e] / capacity;
      sum +=
          problem.costs().congestion()
              * capacity
              * Math.pow(fill, LATENESS_POWER + 1)
              / (LATENESS_POWER + 1);
    }
    return sum;
  }

  private double computeCost() {
    double sum = lateness(problem, load);
    for (int z = 0; z < problem.zones(); z++) {
      for (int e = 0; e < load.length; e++) {
        sum += flow[z][e] * routeCost[z][e];
      }
    }
    return sum;
  }

  /** The Lagrangian lower bound at the zones' prices: no plan of any kind costs less. */
  private double computeBound() {
    double sum = 0;
    for (int z = 0; z < problem.zones(); z++) {
      sum += zonePrice[z] * Math.min(demand[z], Arrays.stream(flow[z]).sum());
    }
    double[] freeLoad = new double[load.length];
    for (int e = 0; e < load.length; e++) {
      double bestPrice = 0;
      for (int z = 0; z < problem.zones(); z++) {
        bestPrice = Math.max(bestPrice, zonePrice[z] - routeCost[z][e]);
      }
      freeLoad[e] = rateAtPrice(e, bestPrice);
      sum -= bestPrice * freeLoad[e];
    }
    return sum + lateness(problem, freeLoad);
  }

  /** The rate that an endpoint should get from a zone. */
  double target(int zone, int endpoint) {
    return flow[zone][endpoint];
  }

  /** The rate that an endpoint should get from all zones. */
  double load(int endpoint) {
    return load[endpoint];
  }

  /** What one more request loses at an endpoint that carries a load, in requests. */
  static double endpointPrice(Problem problem, int endpoint, double load) {
    double fill = load / problem.endpoint(endpoint).capacity();
    return problem.costs().congestion() * Math.pow(fill, LATENESS_POWER);
  }

  /** What a request of a zone loses at an endpoint besides lateness. */
  double routeCost(int zone, int endpoint) {
    return routeCost[zone][endpoint];
  }

  /** The rate that found no endpoint, as all are warming up and their caps are reached. */
  double unplacedRate() {
    double sum = 0;
    for (int z = 0; z < problem.zones(); z++) {
      sum += Math.max(0, demand[z] - Arrays.stream(flow[z]).sum());
    }
    return sum;
  }

  double lowerBound() {
    return bound;
  }

  double cost() {
    return cost;
  }
}
