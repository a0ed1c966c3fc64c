package stonespring.solver;

import java.util.List;

/**
 * Keeps the current weights of route tables where a change would gain too little. Where routes
 * cannot reach all targets, scaling does not converge, and each plan would move weights without a
 * gain.
 */
final class ChangeDamper {
  /** Share of a table below which a change is not worth a message to the proxy. */
  static final double MIN_CHANGE = 0.02;

  /** Share of the cost below which a gain is within the noise of reported rates. */
  private static final double MIN_GAIN = 0.003;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;

  ChangeDamper(Problem problem, Flow flow, WorkingTables tables) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
  }

  /**
   * Keeps all current weights if they are nearly as good as the plan, else decides table by table.
   */
  void dampChanges() {
    if (!keepAllIfNearlyAsGood()) {
      keepSlightlyChangedTables();
    }
  }

  /**
   * Restores the current weights of every table whose routes stay the same, if that raises the cost
   * by no more than the minimum gain.
   *
   * @return whether the current weights were kept
   */
  private boolean keepAllIfNearlyAsGood() {
    double plannedCost = tables.cost(flow);
    double[][] plannedRates = new double[tables.proxyCount()][];
    for (int p = 0; p < plannedRates.length; p++) {
      plannedRates[p] = tables.rates(p);
      double[] currentRates = currentWeights(p);
      for (int i = 0; currentRates != null && i < currentRates.length; i++) {
        currentRates[i] *= tables.demand(p); // converts the weight to a rate
      }
      if (currentRates != null) {
        tables.setRates(p, currentRates);
      }
    }
    tables.recomputeLoads();
    if (tables.cost(flow) * (1 - MIN_GAIN) <= plannedCost) {
      return true;
    }
    for (int p = 0; p < plannedRates.length; p++) {
      tables.setRates(p, plannedRates[p]);
    }
    tables.recomputeLoads();
    return false;
  }

  /**
   * Restores the current weights of each table that would change little, unless that leaves an
   * endpoint above its target.
   */
  private void keepSlightlyChangedTables() {
    for (int p = 0; p < tables.proxyCount(); p++) {
      double[] weights = currentWeights(p);
      if (weights != null && tables.demand(p) > 0 && canKeep(p, weights)) {
        keepTable(p, weights);
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

  /**
   * Returns a proxy's current weights, normalized to a sum of 1, in the order of its planned
   * routes; null if the current and planned routes differ.
   */
  private double[] currentWeights(int proxy) {
    List<Problem.Route> routes = problem.proxy(proxy).routes();
    if (routes.size() != tables.routeCount(proxy)) {
      return null;
    }
    double[] weights = new double[routes.size()];
    double sum = 0;
    for (Problem.Route route : routes) {
      sum += route.weight();
    }
    for (Problem.Route route : routes) {
      int endpoint = problem.indexOf(route.endpoint());
      int position = Problem.NOT_FOUND;
      for (int i = 0; endpoint != Problem.NOT_FOUND && i < weights.length; i++) {
        position = tables.endpoint(proxy, i) == endpoint ? i : position;
      }
      if (position == Problem.NOT_FOUND || sum <= 0) {
        return null;
      }
      weights[position] = route.weight() / sum;
    }
    return weights;
  }
}
