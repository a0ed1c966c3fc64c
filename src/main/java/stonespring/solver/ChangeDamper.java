package stonespring.solver;

import java.util.List;

/**
 * Leaves tables as proxies hold them where a change gains too little. Where routes can't reach all
 * targets, scaling has no end: without it each plan would move weights for nothing.
 */
final class ChangeDamper {
  /** Share of a table below which a change is not worth a message. */
  static final double MIN_CHANGE = 0.02;

  /** Share of the cost below which a gain is within the noise of reports. */
  private static final double MIN_GAIN = 0.003;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;

  ChangeDamper(Problem problem, Flow flow, WorkingTables tables) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
  }

  /** Keeps what is held: all of it if that is about as good, else table by table. */
  void dampChanges() {
    if (!keepAllIfNearlyAsGood()) {
      keepSlightlyChangedTables();
    }
  }

  /** Keeps every table whose routes neither come nor go, if all are about as good so. */
  private boolean keepAllIfNearlyAsGood() {
    double plannedCost = tables.cost(flow);
    double[][] planned = new double[tables.proxyCount()][];
    for (int p = 0; p < planned.length; p++) {
      planned[p] = tables.rates(p);
      double[] current = currentWeights(p);
      for (int i = 0; current != null && i < current.length; i++) {
        current[i] *= tables.demand(p);
      }
      if (current != null) {
        tables.setRates(p, current);
      }
    }
    tables.recomputeLoads();
    if (tables.cost(flow) * (1 - MIN_GAIN) <= plannedCost) {
      return true;
    }
    for (int p = 0; p < planned.length; p++) {
      tables.setRates(p, planned[p]);
    }
    tables.recomputeLoads();
    return false;
  }

  /** Keeps a table that would change little, unless that leaves an endpoint over its target. */
  private void keepSlightlyChangedTables() {
    for (int p = 0; p < tables.proxyCount(); p++) {
      double[] current = currentWeights(p);
      if (current != null && tables.demand(p) > 0 && canKeep(p, current)) {
        keepTable(p, current);
      }
    }
    tables.recomputeLoads();
  }

  private boolean canKeep(int proxy, double[] currentWeights) {
    double demand = tables.demand(proxy);
    double change = 0;
    boolean leavesOverTarget = false;
    for (int i = 0; i < currentWeights.length; i++) {
      double rate = tables.rate(proxy, i);
      change += Math.abs(currentWeights[i] - rate / demand) / 2;
      leavesOverTarget |=
          isOverTarget(tables.endpoint(proxy, i)) && currentWeights[i] * demand > rate;
    }
    return change <= MIN_CHANGE && !leavesOverTarget;
  }

  private boolean isOverTarget(int endpoint) {
    double tolerance =
        SubsetSelector.MEASUREMENT_ERROR_SHARE * problem.endpoint(endpoint).capacity();
    return tables.load(endpoint) > flow.targetLoad(endpoint) + tolerance;
  }

  private void keepTable(int proxy, double[] currentWeights) {
    double demand = tables.demand(proxy);
    double[] loads = tables.loads();
    for (int i = 0; i < currentWeights.length; i++) {
      loads[tables.endpoint(proxy, i)] += currentWeights[i] * demand - tables.rate(proxy, i);
      tables.setRate(proxy, i, currentWeights[i] * demand);
    }
  }

  /** Weights that a proxy holds for the routes that it shall have; null if the routes differ. */
  private double[] currentWeights(int proxy) {
    List<Problem.Route> routes = problem.proxy(proxy).routes();
    if (routes.size() != tables.routeCount(proxy)) {
      return null;
    }
    double[] current = new double[routes.size()];
    double sum = 0;
    for (Problem.Route route : routes) {
      sum += route.weight();
    }
    for (Problem.Route route : routes) {
      int endpoint = problem.indexOf(route.endpoint());
      int position = Problem.NOT_FOUND;
      for (int i = 0; endpoint != Problem.NOT_FOUND && i < current.length; i++) {
        position = tables.endpoint(proxy, i) == endpoint ? i : position;
      }
      if (position == Problem.NOT_FOUND || sum <= 0) {
        return null;
      }
      current[position] = route.weight() / sum;
    }
    return current;
  }
}
