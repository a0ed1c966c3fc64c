package stonespring.solver;

/**
 * Scales the weights of existing routes until proxies send, and endpoints receive, the rates that
 * they should. Uses iterative proportional fitting: of all tables with the same routes, it finds
 * the one closest to the existing weights.
 */
final class ProportionalFitter {
  /** Maximum number of scaling rounds in one fit; the remaining error is left to new routes. */
  private static final int MAX_ROUNDS = 24;

  /**
   * Mean error, as a share of an endpoint's capacity, at which scaling ends; the noise of reported
   * rates is far larger.
   */
  private static final double TARGET_ERROR = 0.002;

  /**
   * Ratio of the error to that of the previous round above which another round is not worthwhile.
   */
  private static final double STALL_RATIO = 0.98;

  /**
   * Maximum factor by which a rate is scaled in one round; routes with a rate near 0 recover in
   * steps.
   */
  private static final double MAX_SCALE_FACTOR = 4;

  /**
   * Maximum weight of one route. Limits the share of a proxy's requests that fail when one endpoint
   * fails.
   */
  private static final double MAX_WEIGHT = 0.5;

  /**
   * Maximum weight of one route as a multiple of an even share. It applies to tables with so few
   * routes that it exceeds {@link #MAX_WEIGHT}.
   */
  private static final double MAX_EVEN_SHARE_MULTIPLE = 1.5;

  /**
   * Relative difference from a proxy's rate that is attributed to rounding when rates are summed.
   */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Lower bound of the divisor where a load is 0, in requests per second. */
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

  /**
   * Returns the mean deviation of an endpoint's load by zone from its target, as a share of its
   * capacity.
   */
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

  /**
   * Limits each route's rate to the maximum weight and distributes the excess over the other routes
   * in proportion to their rates.
   */
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
