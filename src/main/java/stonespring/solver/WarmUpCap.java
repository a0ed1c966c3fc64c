package stonespring.solver;

/**
 * Enforces the maximum load of endpoints that are warming up, in case fitting left some of them
 * above it. The excess goes to the routes of the same tables that lead to warm endpoints.
 */
final class WarmUpCap {
  private final Problem problem;
  private final WorkingTables tables;

  WarmUpCap(Problem problem, WorkingTables tables) {
    this.problem = problem;
    this.tables = tables;
  }

  void enforce() {
    for (int e = 0; e < problem.endpointCount(); e++) {
      double maxLoad = problem.endpoint(e).maxLoad();
      if (tables.load(e) > maxLoad) {
        reduceLoadToShare(e, maxLoad / tables.load(e));
      }
    }
    tables.recomputeLoads();
  }

  private void reduceLoadToShare(int endpoint, double share) {
    for (int p = 0; p < tables.proxyCount(); p++) {
      double warmRate = warmRate(p);
      int route = warmRate > 0 ? findRoute(p, endpoint) : Problem.NOT_FOUND;
      if (route != Problem.NOT_FOUND) {
        moveToWarmRoutes(p, route, tables.rate(p, route) * (1 - share), warmRate);
      }
    }
  }

  private double warmRate(int proxy) {
    double sum = 0;
    for (int i = 0; i < tables.routeCount(proxy); i++) {
      sum += isWarm(proxy, i) ? tables.rate(proxy, i) : 0;
    }
    return sum;
  }

  private int findRoute(int proxy, int endpoint) {
    for (int i = 0; i < tables.routeCount(proxy); i++) {
      if (tables.endpoint(proxy, i) == endpoint) {
        return i;
      }
    }
    return Problem.NOT_FOUND;
  }

  private void moveToWarmRoutes(int proxy, int route, double moved, double warmRate) {
    double[] rates = tables.rates(proxy);
    rates[route] -= moved;
    for (int i = 0; i < rates.length; i++) {
      rates[i] *= isWarm(proxy, i) ? 1 + moved / warmRate : 1;
    }
  }

  private boolean isWarm(int proxy, int route) {
    return problem.endpoint(tables.endpoint(proxy, route)).isWarm();
  }
}
