package stonespring.solver;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Adds routes to endpoints that scaling leaves short of their target, where the gain pays for a new
 * connection. The proxies that bring most to endpoints over their target give first.
 */
final class RouteAdder {
  /** Seconds that a route surely stands, over which its gain counts. */
  private static final double HORIZON_SECONDS = 10;

  /** What a route gives up at most: times what its endpoint has over its target. */
  private static final double MAX_GIVEN_MULTIPLE = 2;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;
  private final int[] plansBelowTarget;

  /** A route to an endpoint over its target, and the rate that it can give up. */
  private record Donor(int proxy, int route, double rate) {}

  /**
   * Prepares for one plan.
   *
   * @param plansBelowTarget by endpoint, plans in a row in which routes were missing: a gain that
   *     does not pay grows with them, so that no cost starves an endpoint
   */
  RouteAdder(Problem problem, Flow flow, WorkingTables tables, int[] plansBelowTarget) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
    this.plansBelowTarget = plansBelowTarget;
  }

  /** Adds routes; returns whether there were any to add. */
  boolean addRoutes() {
    boolean added = false;
    for (int z = 0; z < problem.zones(); z++) {
      added |= addRoutes(z);
    }
    return added;
  }

  private boolean addRoutes(int zone) {
    List<Integer> shortOf = endpointsShortOfTarget(zone);
    if (shortOf.isEmpty()) {
      return false;
    }
    List<Donor> donors = donors(zone);
    double[] price = prices(zone);
    boolean[] hasGiven = new boolean[tables.proxyCount()];
    boolean added = false;
    for (int endpoint : shortOf) {
      added |= addRoutesTo(zone, endpoint, donors, price, hasGiven);
    }
    return added;
  }

  private List<Integer> endpointsShortOfTarget(int zone) {
    List<Integer> shortOf = new ArrayList<>();
    for (int e = 0; e < problem.endpointCount(); e++) {
      if (isShort(e, flow.target(zone, e) - tables.load(zone, e))) {
        shortOf.add(e);
      }
    }
    shortOf.sort(Comparator.comparingDouble(e -> tables.load(zone, e) - flow.target(zone, e)));
    return shortOf;
  }

  private boolean isShort(int endpoint, double missing) {
    return missing > SubsetSelector.SIGNIFICANT_SHARE * problem.endpoint(endpoint).capacity();
  }

  private List<Donor> donors(int zone) {
    List<Donor> donors = new ArrayList<>();
    for (int p = 0; p < tables.proxyCount(); p++) {
      for (int i = 0; problem.zoneOfProxy(p) == zone && i < tables.size(p); i++) {
        int endpoint = tables.endpoint(p, i);
        double load = tables.load(zone, endpoint);
        double over = load - flow.target(zone, endpoint);
        if (over > 0) {
          double given = tables.rate(p, i) * Math.min(1, MAX_GIVEN_MULTIPLE * over / load);
          donors.add(new Donor(p, i, given));
        }
      }
    }
    donors.sort(Comparator.comparingDouble(donor -> -donor.rate));
    return donors;
  }

  /** What one more request of a zone loses at each endpoint, by the tables as they are. */
  private double[] prices(int zone) {
    double[] price = new double[problem.endpointCount()];
    for (int e = 0; e < price.length; e++) {
      price[e] = Flow.endpointPrice(problem, e, tables.load(e)) + flow.routeCost(zone, e);
    }
    return price;
  }

  private boolean addRoutesTo(
      int zone, int endpoint, List<Donor> donors, double[] price, boolean[] hasGiven) {
    boolean added = false;
    double missing = flow.target(zone, endpoint) - tables.load(zone, endpoint);
    for (Donor donor : donors) {
      if (!isShort(endpoint, missing)) {
        break;
      }
      int proxy = donor.proxy;
      if (hasGiven[proxy]) {
        continue;
      }
      double moved = Math.min(donor.rate, missing);
      double saved = price[tables.endpoint(proxy, donor.route)] - price[endpoint];
      double gain = moved * HORIZON_SECONDS * (1 + plansBelowTarget[endpoint]) * saved;
      boolean pays = gain > connectionCost(proxy);
      boolean hasRoom = tables.size(proxy) <= tables.maxRoutes(proxy);
      if (!pays || !hasRoom || !tables.mayAdd(proxy, endpoint)) {
        continue;
      }
      hasGiven[proxy] = true;
      added = true;
      tables.add(proxy, endpoint, moved);
      tables.setRate(proxy, donor.route, tables.rate(proxy, donor.route) - moved);
      missing -= moved;
    }
    return added;
  }

  /** A proxy without routes has to connect in any case. */
  private double connectionCost(int proxy) {
    return problem.proxy(proxy).routes().isEmpty() ? 0 : problem.costs().newRoute();
  }
}
