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
  void damp() {
    if (!keepAll()) {
      keepLittleChanged();
    }
  }

  /** Keeps every table whose routes neither come nor go, if all are about as good so. */
  private boolean keepAll() {
    double plannedCost = tables.cost(flow);
    double[][] planned = new double[tables.proxyCount()][];
    for (int p = 0; p < planned.length; p++) {
      planned[p] = tables.rates(p);
      double[] held = heldWeights(p);
      for (int i = 0; held != null && i < held.length; i++) {
        held[i] *= tables.demand(p);
      }
      if (held != null) {
        tables.setRates(p, held);
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
  private void keepLittleChanged() {
    for (int p = 0; p < tables.proxyCount(); p++) {
      double[] held = heldWeights(p);
      if (held != null && tables.demand(p) > 0 && mayKeep(p, held)) {
        keep(p, held);
      }
    }
    tables.recomputeLoads();
  }

  private boolean mayKeep(int proxy, double[] held) {
    double demand = tables.demand(proxy);
    double change = 0;
    boolean leavesOverTarget = false;
    for (int i = 0; i < held.length; i++) {
      double rate = tables.rate(proxy, i);
      change += Math.abs(held[i] - rate / demand) / 2;
      leavesOverTarget |= isOverTarget(tables.endpoint(proxy, i)) && held[i] * demand > rate;
    }
    return change <= MIN_CHANGE && !leavesOverTarget;
  }

  private boolean isOverTarget(int endpoint) {
    double tolerance = SubsetSelector.SIGNIFICANT_SHARE * problem.endpoint(endpoint).capacity();
    return tables.load(endpoint) > flow.load(endpoint) + tolerance;
  }

  private void keep(int proxy, double[] held) {
    double demand = tables.demand(proxy);
    double[] loads = tables.loads();
    for (int i = 0; i < held.length; i++) {
      loads[tables.endpoint(proxy, i)] += held[i] * demand - tables.rate(proxy, i);
      tables.setRate(proxy, i, held[i] * demand);
    }
  }

  /** Weights that a proxy holds for the routes that it shall have; null if the routes differ. */
  private double[] heldWeights(int proxy) {
    List<Problem.Route> routes = problem.proxy(proxy).routes();
    if (routes.size() != tables.size(proxy)) {
      return null;
    }
    double[] held = new double[routes.size()];
    double sum = 0;
    for (Problem.Route route : routes) {
      sum += route.weight();
    }
    for (Problem.Route route : routes) {
      int endpoint = problem.indexOf(route.endpoint());
      int position = Problem.UNKNOWN;
      for (int i = 0; endpoint != Problem.UNKNOWN && i < held.length; i++) {
        position = tables.endpoint(proxy, i) == endpoint ? i : position;
      }
      if (position == Problem.UNKNOWN || sum <= 0) {
        return null;
      }
      held[position] = route.weight() / sum;
    }
    return held;
  }
}
