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
  private static final double CONGESTION_EXPONENT = 6;

  /** Relative distance of a flow's cost from its lower bound at which the search ends. */
  private static final double RELATIVE_TOLERANCE = 0.001;

  /** Most passes over all zones; convergence takes far fewer. */
  private static final int MAX_SWEEPS = 200;

  /** Highest price, as a multiple of a full endpoint's; beyond it only the caps bind. */
  private static final double MAX_PRICE_MULTIPLE = 1e6;

  /** Halvings of the price bracket; as fine as a double. */
  private static final int MAX_HALVINGS = 60;

  /** Factor by which the upper end of the bracket grows until it holds the price. */
  private static final double BRACKET_GROWTH = 4;

  /** Share of a zone's rate by which sums may differ through rounding. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Problem problem;
  private final double[] zoneDemand;
  private final double[][] routeCost;
  private final double[] load;
  private final double[] zonePrice;
  private final double[][] flow;
  private double cost;
  private double lowerBound;

  /**
   * Solves the flow.
   *
   * @param previous the flow to start from; null to start from nothing
   */
  Flow(Problem problem, Flow previous) {
    this.problem = problem;
    int endpoints = problem.endpointCount();
    zoneDemand = new double[problem.zoneCount()];
    routeCost = new double[problem.zoneCount()][endpoints];
    flow = new double[problem.zoneCount()][endpoints];
    zonePrice = new double[problem.zoneCount()];
    load = new double[endpoints];
    for (int p = 0; p < problem.proxyCount(); p++) {
      zoneDemand[problem.zoneOfProxy(p)] += problem.proxy(p).totalRate();
    }
    for (int z = 0; z < problem.zoneCount(); z++) {
      for (int e = 0; e < endpoints; e++) {
        routeCost[z][e] = problem.routeCost(z, e);
      }
    }
    if (previous != null && previous.problem.zoneCount() == problem.zoneCount()) {
      initializeFrom(previous);
    }
    if (endpoints > 0) {
      solve();
    }
  }

  private void initializeFrom(Flow previous) {
    System.arraycopy(previous.zonePrice, 0, zonePrice, 0, problem.zoneCount());
    for (int e = 0; e < problem.endpointCount(); e++) {
      Problem.Endpoint endpoint = problem.endpoint(e);
      int previousIndex = previous.problem.indexOf(endpoint.id());
      for (int z = 0; previousIndex != Problem.NOT_FOUND && z < problem.zoneCount(); z++) {
        flow[z][e] = Math.min(previous.flow[z][previousIndex], endpoint.maxLoad() - load[e]);
        load[e] += flow[z][e];
      }
    }
  }

  private void solve() {
    for (int sweep = 0; sweep < MAX_SWEEPS; sweep++) {
      for (int z = 0; z < problem.zoneCount(); z++) {
        allocateZone(z);
      }
      cost = computeCost();
      lowerBound = computeLowerBound();
      if (cost - lowerBound <= RELATIVE_TOLERANCE * Math.abs(cost)) {
        return;
      }
    }
  }

  /** The rate that an endpoint takes at what is left of the price after the route's cost. */
  private double rateAtPrice(int endpoint, double priceAfterRouteCost) {
    if (priceAfterRouteCost <= 0) {
      return 0;
    }
    // The sixth root: LATENESS_POWER's inverse.
    double utilization = Math.cbrt(Math.sqrt(priceAfterRouteCost / problem.costs().congestion()));
    Problem.Endpoint candidate = problem.endpoint(endpoint);
    return Math.min(candidate.maxLoad(), candidate.capacity() * utilization);
  }

  /** The rate that a zone places at a price, on top of the other zones' load. */
  private double zoneRateAtPrice(int zone, double price, double[] otherZonesLoad) {
    double sum = 0;
    for (int e = 0; e < otherZonesLoad.length; e++) {
      sum += Math.max(0, rateAtPrice(e, price - routeCost[zone][e]) - otherZonesLoad[e]);
    }
    return sum;
  }

  private void setFlow(int zone, double price, double[] otherZonesLoad) {
    for (int e = 0; e < otherZonesLoad.length; e++) {
      double own = Math.max(0, rateAtPrice(e, price - routeCost[zone][e]) - otherZonesLoad[e]);
      flow[zone][e] = own;
      load[e] = otherZonesLoad[e] + own;
    }
  }

  /** Places one zone's rate where the next request loses least, while the other zones' stand. */
  private void allocateZone(int zone) {
    double[] otherZonesLoad = new double[load.length];
    for (int e = 0; e < otherZonesLoad.length; e++) {
      otherZonesLoad[e] = Math.max(0, load[e] - flow[zone][e]);
    }
    zonePrice[zone] = findZonePrice(zone, otherZonesLoad);
    setFlow(zone, zonePrice[zone], otherZonesLoad);
  }

  private double findZonePrice(int zone, double[] otherZonesLoad) {
    double lowPrice = 0;
    double highPrice = Math.max(1e-6, 2 * zonePrice[zone]);
    double maxPrice = MAX_PRICE_MULTIPLE * problem.costs().congestion();
    while (zoneRateAtPrice(zone, highPrice, otherZonesLoad) < zoneDemand[zone]
        && highPrice < maxPrice) {
      lowPrice = highPrice;
      highPrice *= BRACKET_GROWTH;
    }
    boolean lastPriceInBracket = zonePrice[zone] > lowPrice && zonePrice[zone] < highPrice;
    double guess = lastPriceInBracket ? zonePrice[zone] : (lowPrice + highPrice) / 2;
    for (int i = 0; i < MAX_HALVINGS; i++) {
      double placed = zoneRateAtPrice(zone, guess, otherZonesLoad);
      if (Math.abs(placed - zoneDemand[zone]) <= ROUNDING_TOLERANCE * zoneDemand[zone]) {
        break;
      }
      if (placed < zoneDemand[zone]) {
        lowPrice = guess;
      } else {
        highPrice = guess;
      }
      // By the slope that sums follow; halved where that leaves the bracket.
      double slopeGuess =
          placed > 0 ? guess * Math.pow(zoneDemand[zone] / placed, CONGESTION_EXPONENT) : highPrice;
      boolean useSlopeGuess =
          slopeGuess > lowPrice && slopeGuess < highPrice && i < MAX_HALVINGS / 2;
      guess = useSlopeGuess ? slopeGuess : (lowPrice + highPrice) / 2;
    }
    return guess;
  }

  /** Requests lost a second to lateness at endpoints that carry these loads. */
  static double congestionCost(Problem problem, double[] load) {
    double sum = 0;
    for (int e = 0; e < load.length; e++) {
      double capacity = problem.endpoint(e).capacity();
      double utilization = load[e] / capacity;
      sum +=
          problem.costs().congestion()
              * capacity
              * Math.pow(utilization, CONGESTION_EXPONENT + 1)
              / (CONGESTION_EXPONENT + 1);
    }
    return sum;
  }

  private double computeCost() {
    double sum = congestionCost(problem, load);
    for (int z = 0; z < problem.zoneCount(); z++) {
      for (int e = 0; e < load.length; e++) {
        sum += flow[z][e] * routeCost[z][e];
      }
    }
    return sum;
  }

  /** The Lagrangian lower bound at the zones' prices: no plan of any kind costs less. */
  private double computeLowerBound() {
    double sum = 0;
    for (int z = 0; z < problem.zoneCount(); z++) {
      sum += zonePrice[z] * Math.min(zoneDemand[z], Arrays.stream(flow[z]).sum());
    }
    double[] loadAtBestPrice = new double[load.length];
    for (int e = 0; e < load.length; e++) {
      double bestPrice = 0;
      for (int z = 0; z < problem.zoneCount(); z++) {
        bestPrice = Math.max(bestPrice, zonePrice[z] - routeCost[z][e]);
      }
      loadAtBestPrice[e] = rateAtPrice(e, bestPrice);
      sum -= bestPrice * loadAtBestPrice[e];
    }
    return sum + congestionCost(problem, loadAtBestPrice);
  }

  /** The rate that an endpoint should get from a zone. */
  double target(int zone, int endpoint) {
    return flow[zone][endpoint];
  }

  /** The rate that an endpoint should get from all zones. */
  double targetLoad(int endpoint) {
    return load[endpoint];
  }

  /** What one more request loses at an endpoint that carries a load, in requests. */
  static double endpointPrice(Problem problem, int endpoint, double load) {
    double utilization = load / problem.endpoint(endpoint).capacity();
    return problem.costs().congestion() * Math.pow(utilization, CONGESTION_EXPONENT);
  }

  /** What a request of a zone loses at an endpoint besides lateness. */
  double routeCost(int zone, int endpoint) {
    return routeCost[zone][endpoint];
  }

  /** The rate that found no endpoint, as all are warming up and their caps are reached. */
  double unplacedRate() {
    double sum = 0;
    for (int z = 0; z < problem.zoneCount(); z++) {
      sum += Math.max(0, zoneDemand[z] - Arrays.stream(flow[z]).sum());
    }
    return sum;
  }

  double lowerBound() {
    return lowerBound;
  }

  double cost() {
    return cost;
  }
}
