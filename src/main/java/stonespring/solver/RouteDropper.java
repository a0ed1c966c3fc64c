package stonespring.solver;

/**
 * Drops routes that carry next to nothing, and the least used where a table has too many. The last
 * warm route always stays.
 */
final class RouteDropper {
  /** Weight below which a route is not worth its connection. */
  private static final double MIN_WEIGHT = 0.004;

  /** The same as a multiple of the even share, where that is lower: tables with many routes. */
  private static final double MIN_EVEN_MULTIPLE = 0.1;

  private static final int NONE = -1;

  private final Problem problem;
  private final WorkingTables tables;

  RouteDropper(Problem problem, WorkingTables tables) {
    this.problem = problem;
    this.tables = tables;
  }

  void drop() {
    for (int p = 0; p < tables.proxyCount(); p++) {
      while (tables.size(p) > 1 && dropOne(p)) {
        // another may be idle, or too many, after this one
      }
    }
    tables.recomputeLoads();
  }

  private boolean dropOne(int proxy) {
    int leastUsed = leastUsedRoute(proxy);
    if (leastUsed == NONE) {
      return false;
    }
    double minWeight = Math.min(MIN_WEIGHT, MIN_EVEN_MULTIPLE / tables.size(proxy));
    boolean isIdle = tables.rate(proxy, leastUsed) < minWeight * tables.demand(proxy);
    boolean tooMany = tables.size(proxy) > tables.maxRoutes(proxy);
    if (!isIdle && !tooMany) {
      return false;
    }
    tables.remove(proxy, leastUsed);
    return true;
  }

  private int leastUsedRoute(int proxy) {
    int warmRoutes = 0;
    for (int i = 0; i < tables.size(proxy); i++) {
      warmRoutes += isWarm(proxy, i) ? 1 : 0;
    }
    int least = NONE;
    for (int i = 0; i < tables.size(proxy); i++) {
      boolean isLastWarm = warmRoutes == 1 && isWarm(proxy, i);
      boolean isLess = least == NONE || tables.rate(proxy, i) < tables.rate(proxy, least);
      if (!isLastWarm && isLess) {
        least = i;
      }
    }
    return least;
  }

  private boolean isWarm(int proxy, int route) {
    return problem.endpoint(tables.endpoint(proxy, route)).isWarm();
  }
}
