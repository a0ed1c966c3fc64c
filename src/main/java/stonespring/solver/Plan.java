package stonespring.solver;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;

/**
 * Route tables and weights that the fleet should have, and the reason for each endpoint's
 * allocation. Rates are requests per second.
 *
 * @param cost requests lost per second through late answers, zone crossings and failures, if the
 *     fleet behaves as planned
 * @param lowerBound lower bound on the cost of any plan, with no limit on routes
 * @param unplacedRate rate that no endpoint can take
 * @param newRoutes number of routes that their proxy did not have before
 * @param changedRoutes number of routes whose weight differs from the current one, including new
 *     and dropped routes
 */
public record Plan(
    List<Table> tables,
    List<EndpointAllocation> allocations,
    double cost,
    double lowerBound,
    double unplacedRate,
    int newRoutes,
    int changedRoutes) {
  /** What determines an endpoint's load. */
  public enum Reason {
    /** An additional request at the endpoint costs as much as at any other. */
    BALANCED,
    /** The endpoint is warming up, and its load is at the maximum for that. */
    WARM_UP_CAP,
    /** Too many attempts at the endpoint fail. */
    FAILING,
    /**
     * The endpoint's load is below its target, because more routes to it would cost more than they
     * gain.
     */
    FEW_ROUTES
  }

  /**
   * A planned route.
   *
   * @param weight share of the proxy's requests, 0 to 1
   * @param weightsByClass by request class, the share of that class's requests, 0 to 1
   */
  public record Route(EndpointId endpoint, double weight, double[] weightsByClass) {}

  /** The routes that one proxy should have. */
  public record Table(ProxyId proxy, List<Route> routes) {
    /** Returns the routes that the proxy holds once it follows the plan. */
    public List<Problem.Route> toCurrentRoutes() {
      return routes.stream()
          .map(route -> new Problem.Route(route.endpoint(), route.weight()))
          .toList();
    }
  }

  /**
   * What one endpoint receives under the plan.
   *
   * @param capacity rate that it is trusted to serve
   * @param load rate that it receives under the plan
   * @param target rate that it would receive if routes were unlimited and free
   * @param price requests lost per additional request
   * @param plansBelowTarget number of consecutive plans, this one included, in which it lacked
   *     routes
   */
  public record EndpointAllocation(
      EndpointId endpoint,
      double capacity,
      double load,
      double target,
      double price,
      Reason reason,
      int plansBelowTarget) {}

  /** Returns how far the cost is above the lower bound, as a share of the bound. */
  public double optimalityGap() {
    return lowerBound > 0 ? cost / lowerBound - 1 : 0;
  }
}
