package stonespring.solver;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.EndpointId;

/**
 * Builds the plan from finished tables: weights by request class, and the reason for each
 * endpoint's allocation.
 */
final class PlanBuilder {
  /**
   * Share of failed attempts above which an endpoint counts as failing; endpoints in normal
   * operation show less.
   */
  private static final double MIN_FAILING_SHARE = 0.3;

  /**
   * Minimum factor applied to a weight for a request class. A class keeps some routes, however many
   * of its attempts fail.
   */
  private static final double MIN_CLASS_FACTOR = 0.05;

  /** Lower bound of a weight before scaling by class, so that the sum is never 0. */
  private static final double MIN_WEIGHT = 1e-6;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;

  /** By endpoint, the number of consecutive previous plans in which it lacked routes. */
  private final int[] plansBelowTarget;

  private int newRoutes;
  private int changedRoutes;

  PlanBuilder(Problem problem, Flow flow, WorkingTables tables, int[] plansBelowTarget) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
    this.plansBelowTarget = plansBelowTarget;
  }

  Plan build() {
    List<Plan.Table> planned = new ArrayList<>();
    for (int p = 0; p < tables.proxyCount(); p++) {
      List<Plan.Route> routes = routes(p);
      countChangedRoutes(problem.proxy(p), routes);
      planned.add(new Plan.Table(problem.proxy(p).id(), routes));
    }
    List<Plan.EndpointAllocation> allocations = new ArrayList<>();
    for (int e = 0; e < problem.endpointCount(); e++) {
      allocations.add(allocation(e));
    }
    return new Plan(
        planned,
        allocations,
        tables.cost(flow),
        flow.lowerBound(),
        flow.unplacedRate(),
        newRoutes,
        changedRoutes);
  }

  private List<Plan.Route> routes(int proxy) {
    List<Plan.Route> routes = new ArrayList<>();
    double demand = tables.demand(proxy);
    int size = tables.routeCount(proxy);
    for (int i = 0; i < size; i++) {
      double weight = demand > 0 ? tables.rate(proxy, i) / demand : 1.0 / size;
      EndpointId endpoint = problem.endpoint(tables.endpoint(proxy, i)).id();
      routes.add(new Plan.Route(endpoint, weight, new double[problem.requestClassCount()]));
    }
    for (int k = 0; k < problem.requestClassCount(); k++) {
      setClassWeights(routes, k);
    }
    return routes;
  }

  private void setClassWeights(List<Plan.Route> routes, int requestClass) {
    double sum = 0;
    for (Plan.Route route : routes) {
      int endpoint = problem.indexOf(route.endpoint());
      double failures = problem.endpoint(endpoint).failureShares()[requestClass];
      double weight =
          Math.max(MIN_WEIGHT, route.weight()) * Math.max(MIN_CLASS_FACTOR, 1 - failures);
      route.weightsByClass()[requestClass] = weight;
      sum += weight;
    }
    for (Plan.Route route : routes) {
      route.weightsByClass()[requestClass] /= sum;
    }
  }

  private void countChangedRoutes(Problem.Proxy proxy, List<Plan.Route> routes) {
    Map<EndpointId, Double> currentWeights = new HashMap<>();
    for (Problem.Route route : proxy.routes()) {
      currentWeights.putIfAbsent(route.endpoint(), route.weight());
    }
    double currentWeightSum = proxy.routes().stream().mapToDouble(Problem.Route::weight).sum();
    for (Plan.Route route : routes) {
      Double currentWeight = currentWeights.remove(route.endpoint());
      newRoutes += currentWeight == null ? 1 : 0;
      boolean isChanged =
          currentWeight == null
              || Math.abs(currentWeight / currentWeightSum - route.weight())
                  > ChangeDamper.MIN_CHANGE / 2;
      changedRoutes += isChanged ? 1 : 0;
    }
    changedRoutes += currentWeights.size();
  }

  private Plan.EndpointAllocation allocation(int endpoint) {
    Problem.Endpoint planned = problem.endpoint(endpoint);
    double load = tables.load(endpoint);
    boolean isBelowTarget = isBelowTarget(endpoint);
    double price = Flow.endpointPrice(problem, endpoint, load);
    int belowTarget = isBelowTarget ? plansBelowTarget[endpoint] + 1 : 0;
    return new Plan.EndpointAllocation(
        planned.id(),
        planned.capacity(),
        load,
        flow.targetLoad(endpoint),
        price,
        reason(planned, load, isBelowTarget),
        belowTarget);
  }

  private boolean isBelowTarget(int endpoint) {
    double missingRate = 0;
    for (int z = 0; z < problem.zoneCount(); z++) {
      missingRate += Math.max(0, flow.target(z, endpoint) - tables.load(z, endpoint));
    }
    double tolerance =
        SubsetSelector.MEASUREMENT_ERROR_SHARE * problem.endpoint(endpoint).capacity();
    return missingRate > tolerance && tables.load(endpoint) < flow.targetLoad(endpoint);
  }

  private static Plan.Reason reason(Problem.Endpoint endpoint, double load, boolean isBelowTarget) {
    if (endpoint.maxLoad() <= load * (1 + SubsetSelector.MEASUREMENT_ERROR_SHARE)) {
      return Plan.Reason.WARM_UP_CAP;
    }
    if (isBelowTarget) {
      return Plan.Reason.FEW_ROUTES;
    }
    double failures = Arrays.stream(endpoint.failureShares()).average().orElse(0);
    return failures > MIN_FAILING_SHARE ? Plan.Reason.FAILING : Plan.Reason.BALANCED;
  }
}
