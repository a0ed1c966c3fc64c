package stonespring.solver;

/**
 * Scales the weights of routes until proxies and endpoints both have what they should (iterative
 * proportional fitting: of all tables with the same routes the one nearest to those that stand).
 */
final class ProportionalFitter {
  private static final int MAX_ROUNDS = 24;

  /** Mean error, as a share of an endpoint's capacity, at which the fit ends. */
  private static final double TARGET_ERROR = 0.002;

  /** Ratio of an error to the last one above which another round is not worth it. */
  private static final double STALL_RATIO = 0.98;

  /** Highest factor that a rate is scaled by in one round. */
  private static final double MAX_SCALE_FACTOR = 4;

  /**
   * Highest weight of one route, so that an endpoint that fails takes no more of a proxy's requests
   * with it.
   */
  private static final double MAX_WEIGHT = 0.5;

  /**
   * Highest weight as a multiple of the even share, where a table has so few routes that it is
   * above the maximum weight.
   */
  private static final double MAX_EVEN_SHARE_MULTIPLE = 1.5;

  /** Share of a proxy's rate by which sums may differ through rounding. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

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

  void fitRates() {
    double lastError = Double.POSITIVE_INFINITY;
    for (int round = 0; round < MAX_ROUNDS; round++) {
      tables.recomputeLoads();
      double error = meanError();
      if (error < TARGET_ERROR || error > STALL_RATIO * lastError) {
        return;
      }
      lastError = error;
      for (int p = 0; p < tables.proxyCount(); p++) {
        scaleRates(p);
        limitWeights(p);
      }
    }
    tables.recomputeLoads();
  }

  /** The mean share of an endpoint's capacity by which it gets too much or too little. */
  private double meanError() {
    double sum = 0;
    for (int z = 0; z < problem.zoneCount(); z++) {
      for (int e = 0; e < problem.endpointCount(); e++) {
        sum += Math.abs(tables.load(z, e) - flow.target(z, e)) / problem.endpoint(e).capacity();
      }
    }
    return sum / problem.endpointCount();
  }

  private void scaleRates(int proxy) {
    int zone = problem.zoneOfProxy(proxy);
    double[] rates = tables.rates(proxy);
    double sum = 0;
    for (int i = 0; i < rates.length; i++) {
      int endpoint = tables.endpoint(proxy, i);
      double scale = flow.target(zone, endpoint) / Math.max(MIN_LOAD, tables.load(zone, endpoint));
      rates[i] *= Math.max(1 / MAX_SCALE_FACTOR, Math.min(MAX_SCALE_FACTOR, scale));
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
    double maxRate = demand * Math.max(MAX_WEIGHT, MAX_EVEN_SHARE_MULTIPLE / rates.length);
    for (int round = 0; round < rates.length; round++) {
      double excess = 0;
      double rateBelowMax = 0;
      for (double rate : rates) {
        excess += Math.max(0, rate - maxRate);
        rateBelowMax += rate < maxRate ? rate : 0;
      }
      if (excess <= ROUNDING_TOLERANCE * demand || rateBelowMax <= 0) {
        return;
      }
      for (int i = 0; i < rates.length; i++) {
        rates[i] = rates[i] < maxRate ? rates[i] * (1 + excess / rateBelowMax) : maxRate;
      }
    }
  }
}
