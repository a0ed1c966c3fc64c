package stonespring.solver;

/**
 * Scales the weights of routes until proxies and endpoints both have what they should (iterative
 * proportional fitting: of all tables with the same routes the one nearest to those that stand).
 */
final class ProportionalFitter {
  private static final int MAX_ROUNDS = 24;

  /** Mean error, as a share of an endpoint's capacity, at which the fit ends. */
  private static final double FITTED = 0.002;

  /** Ratio of an error to the last one above which another round is not worth it. */
  private static final double STALLED = 0.98;

  /** Highest factor that a rate is scaled by in one round. */
  private static final double MAX_SCALE = 4;

  /**
   * Highest weight of one route, so that an endpoint that fails takes no more of a proxy's requests
   * with it.
   */
  private static final double MAX_WEIGHT = 0.5;

  /**
   * Highest weight as a multiple of the even share, where a table has so few routes that it is
   * above the maximum weight.
   */
  private static final double MAX_EVEN_MULTIPLE = 1.5;

  /** Share of a proxy's rate by which sums may differ through rounding. */
  private static final double ROUNDING_ERROR = 1e-9;

  /** In place of a load of 0, to divide by. */
  private static final double MIN_LOAD = 1e-12;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;

  ProportionalFitter(Problem problem, Flow flow, WorkingTables tables) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
  }

  void fit() {
    double lastError = Double.POSITIVE_INFINITY;
    for (int round = 0; round < MAX_ROUNDS; round++) {
      tables.recomputeLoads();
      double error = error();
      if (error < FITTED || error > STALLED * lastError) {
        return;
      }
      lastError = error;
      for (int p = 0; p < tables.proxyCount(); p++) {
        scale(p);
        limitWeights(p);
      }
    }
    tables.recomputeLoads();
  }

  /** The mean share of an endpoint's capacity by which it gets too much or too little. */
  private double error() {
    double sum = 0;
    for (int z = 0; z < problem.zones(); z++) {
      for (int e = 0; e < problem.endpointCount(); e++) {
        sum += Math.abs(tables.load(z, e) - flow.target(z, e)) / problem.endpoint(e).capacity();
      }
    }
    return sum / problem.endpointCount();
  }

  private void scale(int proxy) {
    int zone = problem.zoneOfProxy(proxy);
    double[] rates = tables.rates(proxy);
    double sum = 0;
    for (int i = 0; i < rates.length; i++) {
      int endpoint = tables.endpoint(proxy, i);
      double scale = flow.target(zone, endpoint) / Math.max(MIN_LOAD, tables.load(zone, endpoint));
      rates[i] *= Math.max(1 / MAX_SCALE, Math.min(MAX_SCALE, scale));
      sum += rates[i];
    }
    for (int i = 0; sum > 0 && i < rates.length; i++) {
      rates[i] *= tables.demand(proxy) / sum;
    }
  }

  /** What one route has over its maximum goes to the others. */
  private void limitWeights(int proxy) {
    double[] rates = tables.rates(proxy);
    double demand = tables.demand(proxy);
    double max = demand * Math.max(MAX_WEIGHT, MAX_EVEN_MULTIPLE / rates.length);
    for (int round = 0; round < rates.length; round++) {
      double over = 0;
      double belowMax = 0;
      for (double rate : rates) {
        over += Math.max(0, rate - max);
        belowMax += rate < max ? rate : 0;
      }
      if (over <= ROUNDING_ERROR * demand || belowMax <= 0) {
        return;
      }
      for (int i = 0; i < rates.length; i++) {
        rates[i] = rates[i] < max ? rates[i] * (1 + over / belowMax) : max;
      }
    }
  }
}
