package stonespring.solver;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;

/**
 * Weights that the fleet should have, and why. Rates are requests per second.
 *
 * @param cost requests lost a second by lateness, crossings and failures, if all goes as planned
 * @param lowerBound what any plan loses at least, with no limit of routes
 * @param unplacedRate the rate for which no endpoint may be used
 * @param newRoutes routes that no proxy held
 * @param changedRoutes routes whose weight differs from the one held, new and dropped ones included
 */
public record Plan(
    List<Table> tables,
    List<EndpointAllocation> allocations,
    double cost,
    double lowerBound,
    double unplacedRate,
    int newRoutes,
    int changedRoutes) {
  /** Why an endpoint gets what it gets. */
  public enum Reason {
    /** One more request would lose as much there as anywhere else. */
    BALANCED,
    /** It is warming up, and all proxies together may bring no more. */
    WARM_UP_CAP,
    /** Too many of its attempts fail. */
    FAILING,
    /** Routes to it don't reach its target yet; those that are missing cost more than they gain. */
    FEW_ROUTES
  }

  /**
   * One route.
   *
   * @param weight the share of the proxy's requests
   * @param weightsByClass by request class, the share of that class's requests
   */
  public record Route(EndpointId endpoint, double weight, double[] weightsByClass) {}

  /** The routes that one proxy should have. */
  public record Table(ProxyId proxy, List<Route> routes) {
    /** The routes as a proxy holds them that follows the plan. */
    public List<Problem.Route> toCurrentRoutes() {
      return routes.stream()
          .map(route -> new Problem.Route(route.endpoint(), route.weight()))
          .toList();
    }
  }

  /**
   * What one endpoint gets.
   *
   * @param load its rate by this plan
   * @param target its rate if routes had no limit and no cost
   * @param price requests lost for one more request
   * @param plansBelowTarget plans in a row in which routes were missing
   */
  public record EndpointAllocation(
      EndpointId endpoint,
      double capacity,
      double load,
      double target,
      double price,
      Reason reason,
      int plansBelowTarget) {}

  /** The share by which the plan costs more than the bound. */
  public double optimalityGap() {
    return lowerBound > 0 ? cost / lowerBound - 1 : 0;
  }
}
