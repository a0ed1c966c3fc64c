package stonespring.solver;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Adds routes to endpoints that scaling leaves below their target, where the gain exceeds the cost
 * of a new connection. A new route takes its rate from another route of the same proxy, whose
 * endpoint is above its target; routes that can give up the highest rates come first.
 */
final class RouteAdder {
  /** Time, in seconds, that a new route is certain to exist, over which its gain is counted. */
  private static final double HORIZON_SECONDS = 10;

  /**
   * Maximum share of a route's rate that it gives up, as a multiple of its endpoint's relative
   * excess.
   */
  private static final double MAX_DONATED_EXCESS_MULTIPLE = 2;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;
  private final int[] plansBelowTarget;

  /**
   * A route to an endpoint above its target.
   *
   * @param rate requests per second that the route can give up
   */
  private record Donor(int proxy, int route, double rate) {}

  /**
   * Creates an adder for the tables of one plan.
   *
   * @param plansBelowTarget by endpoint, the number of consecutive plans in which it lacked routes.
   *     The gain of a route to it is multiplied accordingly, so that a high connection cost cannot
   *     leave an endpoint without requests indefinitely.
   */
  RouteAdder(Problem problem, Flow flow, WorkingTables tables, int[] plansBelowTarget) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
    this.plansBelowTarget = plansBelowTarget;
  }

  /** Adds routes in all zones; returns whether any were added. */
  boolean addRoutes() {
    boolean added = false;
    for (int z = 0; z < problem.zoneCount(); z++) {
      added |= addRoutes(z);
    }
    return added;
  }

  private boolean addRoutes(int zone) {
    List<Integer> belowTarget = endpointsBelowTarget(zone);
    if (belowTarget.isEmpty()) {
      return false;
    }
    List<Donor> donors = donors(zone);
    double[] marginalCost = marginalCosts(zone);
    boolean[] hasDonated = new boolean[tables.proxyCount()];
    boolean added = false;
    for (int endpoint : belowTarget) {
      added |= addRoutesTo(zone, endpoint, donors, marginalCost, hasDonated);
    }
    return added;
  }

  private List<Integer> endpointsBelowTarget(int zone) {
    List<Integer> belowTarget = new ArrayList<>();
    for (int e = 0; e < problem.endpointCount(); e++) {
      if (isBelowTarget(e, flow.target(zone, e) - tables.load(zone, e))) {
        belowTarget.add(e);
      }
    }
    belowTarget.sort(Comparator.comparingDouble(e -> tables.load(zone, e) - flow.target(zone, e)));
    return belowTarget;
  }

  private boolean isBelowTarget(int endpoint, double missingRate) {
    return missingRate
        > SubsetSelector.MEASUREMENT_ERROR_SHARE * problem.endpoint(endpoint).capacity();
  }

  private List<Donor> donors(int zone) {
    List<Donor> donors = new ArrayList<>();
    for (int p = 0; p < tables.proxyCount(); p++) {
      for (int i = 0; problem.zoneOfProxy(p) == zone && i < tables.routeCount(p); i++) {
        int endpoint = tables.endpoint(p, i);
        double load = tables.load(zone, endpoint);
        double excess = load - flow.target(zone, endpoint);
        if (excess > 0) {
          double donatable =
              tables.rate(p, i) * Math.min(1, MAX_DONATED_EXCESS_MULTIPLE * excess / load);
          donors.add(new Donor(p, i, donatable));
        }
      }
    }
    donors.sort(Comparator.comparingDouble(donor -> -donor.rate));
    return donors;
  }

  /**
   * Returns, by endpoint, the requests lost per additional request from a zone under the tables as
   * they are.
   */
  private double[] marginalCosts(int zone) {
    double[] marginalCost = new double[problem.endpointCount()];
    for (int e = 0; e < marginalCost.length; e++) {
      marginalCost[e] = Flow.endpointPrice(problem, e, tables.load(e)) + flow.routeCost(zone, e);
    }
    return marginalCost;
  }

  private boolean addRoutesTo(
      int zone, int endpoint, List<Donor> donors, double[] marginalCost, boolean[] hasDonated) {
    boolean added = false;
    double missingRate = flow.target(zone, endpoint) - tables.load(zone, endpoint);
    for (Donor donor : donors) {
      if (!isBelowTarget(endpoint, missingRate)) {
        break;
      }
      int proxy = donor.proxy;
      if (hasDonated[proxy]) {
        continue;
      }
      double moved = Math.min(donor.rate, missingRate);
      double savingPerRequest =
          marginalCost[tables.endpoint(proxy, donor.route)] - marginalCost[endpoint];
      double gain = moved * HORIZON_SECONDS * (1 + plansBelowTarget[endpoint]) * savingPerRequest;
      boolean gainExceedsCost = gain > connectionCost(proxy);
      // A table may exceed its limit by one route here; RouteDropper then removes the least used
      // one.
      boolean isWithinRouteLimit = tables.routeCount(proxy) <= tables.maxRoutes(proxy);
      if (!gainExceedsCost || !isWithinRouteLimit || !tables.canAddRoute(proxy, endpoint)) {
        continue;
      }
      hasDonated[proxy] = true;
      added = true;
      tables.addRoute(proxy, endpoint, moved);
      tables.setRate(proxy, donor.route, tables.rate(proxy, donor.route) - moved);
      missingRate -= moved;
    }
    return added;
  }

  /**
   * Returns the cost of a connection to an endpoint, in lost requests; 0 for a proxy without
   * routes, which has to connect in any case.
   */
  private double connectionCost(int proxy) {
    return problem.proxy(proxy).routes().isEmpty() ? 0 : problem.costs().newRoute();
  }
}
