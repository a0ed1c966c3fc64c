package stonespring.solver;

import java.util.Arrays;

/**
 * Optimal flow of requests from zones to endpoints: how many requests per second each endpoint
 * should receive from each zone, ignoring individual proxies and the limit on routes per table.
 *
 * <p>Minimizes the sum of the endpoints' congestion cost and the routes' cost, a convex flow
 * problem (Boyd and Vandenberghe, Convex Optimization, section 5.2). Solved by block coordinate
 * descent: each step allocates one zone's rate exactly, by water filling, while the other zones'
 * rates stay fixed. The zone prices (dual variables) give a lower bound on the cost of any plan.
 *
 * <p>Rates are requests per second; costs are lost requests per second; prices are lost requests
 * per additional request.
 */
final class Flow {
  /**
   * Exponent of an endpoint's utilization in the price of congestion. With 6, congestion is low at
   * half utilization and rises steeply towards full utilization.
   */
  private static final double CONGESTION_EXPONENT = 6;

  /**
   * Relative gap between a flow's cost and its lower bound at which iteration ends; a flow this
   * close to the bound is good enough.
   */
  private static final double RELATIVE_TOLERANCE = 0.001;

  /** Maximum number of passes over all zones; convergence takes far fewer. */
  private static final int MAX_SWEEPS = 200;

  /**
   * Maximum zone price, as a multiple of the price at a just full endpoint; beyond it only the load
   * limits of endpoints that are warming up restrict the flow.
   */
  private static final double MAX_PRICE_MULTIPLE = 1e6;

  /**
   * Maximum number of bisection steps of the price search; enough for the precision of a double.
   */
  private static final int MAX_HALVINGS = 60;

  /**
   * Factor by which the upper end of the price bracket grows until the bracket contains the price.
   */
  private static final double BRACKET_GROWTH = 4;

  /**
   * Relative difference from a zone's demand that is attributed to rounding when rates are summed.
   */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Problem problem;

  /** Requests per second by zone. */
  private final double[] zoneDemand;

  /** Requests lost per request by zone and endpoint, apart from congestion. */
  private final double[][] routeCost;

  /** Requests per second from all zones, by endpoint. */
  private final double[] load;

  /** Marginal cost of a request by zone, as of the last allocation. */
  private final double[] zonePrice;

  /** Requests per second by zone and endpoint. */
  private final double[][] flow;

  private double cost;
  private double lowerBound;

  /**
   * Computes the optimal flow.
   *
   * @param previous flow to start the iteration from; null to start from zero
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

  /**
   * Starts from a previous flow, as far as its endpoints still exist and the loads stay within the
   * endpoints' limits.
   */
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

  /**
   * Returns the total rate at which an endpoint's congestion price reaches the given price, limited
   * by the endpoint's maximum load.
   *
   * @param priceAfterRouteCost zone price less the cost of the route
   */
  private double rateAtPrice(int endpoint, double priceAfterRouteCost) {
    if (priceAfterRouteCost <= 0) {
      return 0;
    }
    // The sixth root inverts the power CONGESTION_EXPONENT.
    double utilization = Math.cbrt(Math.sqrt(priceAfterRouteCost / problem.costs().congestion()));
    Problem.Endpoint candidate = problem.endpoint(endpoint);
    return Math.min(candidate.maxLoad(), candidate.capacity() * utilization);
  }

  /**
   * Returns the rate that a zone allocates to all endpoints at a price, given the load from other
   * zones.
   */
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

  /**
   * Allocates one zone's rate where the marginal cost is lowest; the other zones' rates stay fixed.
   */
  private void allocateZone(int zone) {
    double[] otherZonesLoad = new double[load.length];
    for (int e = 0; e < otherZonesLoad.length; e++) {
      otherZonesLoad[e] = Math.max(0, load[e] - flow[zone][e]);
    }
    zonePrice[zone] = findZonePrice(zone, otherZonesLoad);
    setFlow(zone, zonePrice[zone], otherZonesLoad);
  }

  /**
   * Finds the price at which a zone allocates its whole demand, or the highest price if its
   * endpoints cannot take it all.
   */
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
      double allocatedRate = zoneRateAtPrice(zone, guess, otherZonesLoad);
      if (Math.abs(allocatedRate - zoneDemand[zone]) <= ROUNDING_TOLERANCE * zoneDemand[zone]) {
        break;
      }
      if (allocatedRate < zoneDemand[zone]) {
        lowPrice = guess;
      } else {
        highPrice = guess;
      }
      // The allocated rate grows roughly as the price to the power 1 / CONGESTION_EXPONENT; where
      // that estimate leaves the bracket, or after half of the steps, the bracket is bisected.
      double slopeGuess =
          allocatedRate > 0
              ? guess * Math.pow(zoneDemand[zone] / allocatedRate, CONGESTION_EXPONENT)
              : highPrice;
      boolean useSlopeGuess =
          slopeGuess > lowPrice && slopeGuess < highPrice && i < MAX_HALVINGS / 2;
      guess = useSlopeGuess ? slopeGuess : (lowPrice + highPrice) / 2;
    }
    return guess;
  }

  /**
   * Returns the requests per second that are lost because endpoints under the given loads answer
   * late.
   *
   * @param load requests per second by endpoint index
   */
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

  /** Returns the Lagrangian lower bound at the zones' prices; no plan costs less. */
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

  /** Returns the rate that an endpoint should receive from a zone. */
  double target(int zone, int endpoint) {
    return flow[zone][endpoint];
  }

  /** Returns the rate that an endpoint should receive from all zones together. */
  double targetLoad(int endpoint) {
    return load[endpoint];
  }

  /**
   * Returns the requests lost to congestion per additional request at an endpoint that carries the
   * given load.
   */
  static double endpointPrice(Problem problem, int endpoint, double load) {
    double utilization = load / problem.endpoint(endpoint).capacity();
    return problem.costs().congestion() * Math.pow(utilization, CONGESTION_EXPONENT);
  }

  /**
   * Returns how many requests are lost, other than to congestion, for each request that a zone
   * sends to an endpoint.
   */
  double routeCost(int zone, int endpoint) {
    return routeCost[zone][endpoint];
  }

  /**
   * Returns the rate that no endpoint can take, because all endpoints are warming up and have
   * reached their maximum load.
   */
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
