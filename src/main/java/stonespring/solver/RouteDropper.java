package stonespring.solver;

/**
 * Drops routes with a negligible rate, and the least used routes where a table has too many. A
 * table's last route to a warm endpoint is always kept.
 */
final class RouteDropper {
  /** Weight below which a route is not worth its connection. */
  private static final double MIN_WEIGHT = 0.004;

  /**
   * Minimum weight of a route as a multiple of an even share. It applies to tables with so many
   * routes that it is below {@link #MIN_WEIGHT}: a fixed minimum would drop most routes of a very
   * large proxy.
   */
  private static final double MIN_EVEN_SHARE_MULTIPLE = 0.1;

  private static final int NO_ROUTE = -1;

  private final Problem problem;
  private final WorkingTables tables;

  RouteDropper(Problem problem, WorkingTables tables) {
    this.problem = problem;
    this.tables = tables;
  }

  void dropRoutes() {
    for (int p = 0; p < tables.proxyCount(); p++) {
      while (tables.routeCount(p) > 1 && dropLeastUsed(p)) {
        // Each removal changes the shares, so the next least used route is checked too.
      }
    }
    tables.recomputeLoads();
  }

  private boolean dropLeastUsed(int proxy) {
    int leastUsed = leastUsedRoute(proxy);
    if (leastUsed == NO_ROUTE) {
      return false;
    }
    double minWeight = Math.min(MIN_WEIGHT, MIN_EVEN_SHARE_MULTIPLE / tables.routeCount(proxy));
    boolean isIdle = tables.rate(proxy, leastUsed) < minWeight * tables.demand(proxy);
    boolean tooMany = tables.routeCount(proxy) > tables.maxRoutes(proxy);
    if (!isIdle && !tooMany) {
      return false;
    }
    tables.removeRoute(proxy, leastUsed);
    return true;
  }

  private int leastUsedRoute(int proxy) {
    int warmRoutes = 0;
    for (int i = 0; i < tables.routeCount(proxy); i++) {
      warmRoutes += isWarm(proxy, i) ? 1 : 0;
    }
    int least = NO_ROUTE;
    for (int i = 0; i < tables.routeCount(proxy); i++) {
      boolean isLastWarm = warmRoutes == 1 && isWarm(proxy, i);
      boolean carriesLess = least == NO_ROUTE || tables.rate(proxy, i) < tables.rate(proxy, least);
      if (!isLastWarm && carriesLess) {
        least = i;
      }
    }
    return least;
  }

  private boolean isWarm(int proxy, int route) {
    return problem.endpoint(tables.endpoint(proxy, route)).isWarm();
  }
}
