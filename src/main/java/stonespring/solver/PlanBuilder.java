package stonespring.solver;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.EndpointId;

/** Makes the plan of finished tables: weights by request class, and the reason of each share. */
final class PlanBuilder {
  /** Share of failing attempts above which an endpoint is failing for a request class. */
  private static final double FAILING = 0.3;

  /** Least factor of a weight for a request class, however many of its attempts fail there. */
  private static final double MIN_CLASS_SHARE = 0.05;

  /** In place of a weight of 0, to divide by. */
  private static final double MIN_WEIGHT = 1e-6;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;
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
      countChanges(problem.proxy(p), routes);
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
    int size = tables.size(proxy);
    for (int i = 0; i < size; i++) {
      double weight = demand > 0 ? tables.rate(proxy, i) / demand : 1.0 / size;
      EndpointId endpoint = problem.endpoint(tables.endpoint(proxy, i)).id();
      routes.add(new Plan.Route(endpoint, weight, new double[problem.requestClasses()]));
    }
    for (int k = 0; k < problem.requestClasses(); k++) {
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
          Math.max(MIN_WEIGHT, route.weight()) * Math.max(MIN_CLASS_SHARE, 1 - failures);
      route.weightsByClass()[requestClass] = weight;
      sum += weight;
    }
    for (Plan.Route route : routes) {
      route.weightsByClass()[requestClass] /= sum;
    }
  }

  private void countChanges(Problem.Proxy proxy, List<Plan.Route> routes) {
    Map<EndpointId, Double> heldWeights = new HashMap<>();
    for (Problem.Route route : proxy.routes()) {
      heldWeights.putIfAbsent(route.endpoint(), route.weight());
    }
    double heldSum = proxy.routes().stream().mapToDouble(Problem.Route::weight).sum();
    for (Plan.Route route : routes) {
      Double held = heldWeights.remove(route.endpoint());
      newRoutes += held == null ? 1 : 0;
      boolean isChanged =
          held == null || Math.abs(held / heldSum - route.weight()) > ChangeDamper.MIN_CHANGE / 2;
      changedRoutes += isChanged ? 1 : 0;
    }
    changedRoutes += heldWeights.size();
  }

  private Plan.EndpointAllocation allocation(int endpoint) {
    Problem.Endpoint of = problem.endpoint(endpoint);
    double load = tables.load(endpoint);
    boolean lacksRoutes = lacksRoutes(endpoint);
    double price = Flow.endpointPrice(problem, endpoint, load);
    int belowTarget = lacksRoutes ? plansBelowTarget[endpoint] + 1 : 0;
    return new Plan.EndpointAllocation(
        of.id(),
        of.capacity(),
        load,
        flow.load(endpoint),
        price,
        reason(of, load, lacksRoutes),
        belowTarget);
  }

  private boolean lacksRoutes(int endpoint) {
    double missing = 0;
    for (int z = 0; z < problem.zones(); z++) {
      missing += Math.max(0, flow.target(z, endpoint) - tables.load(z, endpoint));
    }
    double tolerance = SubsetSelector.SIGNIFICANT_SHARE * problem.endpoint(endpoint).capacity();
    return missing > tolerance && tables.load(endpoint) < flow.load(endpoint);
  }

  private static Plan.Reason reason(Problem.Endpoint endpoint, double load, boolean lacksRoutes) {
    if (endpoint.maxLoad() <= load * (1 + SubsetSelector.SIGNIFICANT_SHARE)) {
      return Plan.Reason.WARM_UP_CAP;
    }
    if (lacksRoutes) {
      return Plan.Reason.FEW_ROUTES;
    }
    double failures = Arrays.stream(endpoint.failureShares()).average().orElse(0);
    return failures > FAILING ? Plan.Reason.FAILING : Plan.Reason.BALANCED;
  }
}
