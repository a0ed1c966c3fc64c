package stonespring.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import stonespring.model.Settings;

/**
 * Limits the load of endpoints that warm up: such an endpoint fails when its load is a multiple of
 * its current capacity. A proxy that ejects failing endpoints sends their requests over its other
 * routes, regardless of the weights. A route to a warming endpoint is therefore allowed only while
 * the requests that all proxies may send to it stay within two budgets: one for the failures that
 * reports show, and one for failures that may begin before reports show them.
 */
final class SlowStartGuard {
  /**
   * Multiple of the overload limit that may be reached under observed failures; the rest of the
   * limit allows for random variation.
   */
  private static final double OBSERVED_BUDGET_MULTIPLE = 0.5;

  /**
   * Multiple of the overload limit that may be reached in the worst case. A lower multiple would
   * keep out endpoints that a deployment needs, and the deployment would stall.
   */
  private static final double WORST_CASE_BUDGET_MULTIPLE = 1.6;

  /**
   * Multiple of the overload limit that may be reached in the worst case during a surge, where
   * retries add to the load.
   */
  private static final double SURGE_BUDGET_MULTIPLE = 0.8;

  /**
   * Multiple of the mean rate above which the offered requests count as a surge; the rate varies by
   * less than that from second to second.
   */
  private static final double SURGE_MULTIPLE = 1.15;

  /** Minimum available weight; keeps the divisor above 0 if no weight is available. */
  private static final double MIN_AVAILABLE_WEIGHT = 1e-9;

  private final Settings settings;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final TrafficEstimator traffic;
  private final OutlierEjectionModel ejection;
  private final AdmissionController admission;

  /**
   * Requests per second that may still be sent to each endpoint, by endpoint index, with one array
   * for each {@link EjectionScenario}.
   */
  private record Budgets(double[] observed, double[] worstCase) {}

  SlowStartGuard(
      Settings settings,
      EndpointRegistry endpoints,
      ProxyRegistry proxies,
      TrafficEstimator traffic,
      OutlierEjectionModel ejection,
      AdmissionController admission) {
    this.settings = settings;
    this.endpoints = endpoints;
    this.proxies = proxies;
    this.traffic = traffic;
    this.ejection = ejection;
    this.admission = admission;
  }

  /**
   * Removes the targets of routes that exceed the budgets. A proxy that already uses such a route
   * is added to the urgent updates.
   */
  void limitTargets(List<ProxyState> plannedProxies, UrgentUpdates urgent) {
    Budgets budgets = computeBudgets();
    double admittedShare = admission.admittedTrafficShare();
    for (ProxyState proxy : byPriority(plannedProxies)) {
      boolean removed = true;
      while (removed) {
        removed = removeExcessTargets(proxy, budgets, admittedShare, urgent);
      }
      for (Route route : proxy.table().routes()) {
        if (isGuarded(route)) {
          int index = route.endpoint().index();
          budgets.observed[index] -=
              possibleRate(proxy, route, admittedShare, EjectionScenario.OBSERVED);
          budgets.worstCase[index] -=
              possibleRate(proxy, route, admittedShare, EjectionScenario.WORST_CASE);
        }
      }
    }
  }

  /**
   * Sorts the proxies. Those with a route to a warming endpoint come first, so that they keep it;
   * otherwise routes would move back and forth between proxies in each round. Within both groups,
   * proxies of few requests come first.
   */
  private List<ProxyState> byPriority(List<ProxyState> plannedProxies) {
    List<ProxyState> sorted = new ArrayList<>(plannedProxies);
    sorted.sort(
        Comparator.<ProxyState, Boolean>comparing(proxy -> !holdsWarmingEndpoint(proxy))
            .thenComparingDouble(ProxyState::averageRate));
    return sorted;
  }

  private boolean holdsWarmingEndpoint(ProxyState proxy) {
    return proxy.table().routes().stream()
        .anyMatch(route -> route.isApplied() && !endpoints.isWarm(route.endpoint()));
  }

  private Budgets computeBudgets() {
    double overloadLimit = settings.slowStart().overloadMultiple() * traffic.share();
    double meanRate =
        proxies.all().stream()
            .mapToDouble(proxy -> proxy.isConnected() ? proxy.averageRate() : 0)
            .sum();
    boolean surge = traffic.offeredRate() > SURGE_MULTIPLE * meanRate;
    double worstCaseMultiple = surge ? SURGE_BUDGET_MULTIPLE : WORST_CASE_BUDGET_MULTIPLE;
    double[] observed = new double[endpoints.size()];
    double[] worstCase = new double[endpoints.size()];
    for (EndpointState endpoint : endpoints.all()) {
      int index = endpoint.index();
      observed[index] = OBSERVED_BUDGET_MULTIPLE * overloadLimit * endpoint.capacity();
      worstCase[index] = worstCaseMultiple * overloadLimit * endpoint.capacity();
    }
    return new Budgets(observed, worstCase);
  }

  /**
   * Removes the targets of a proxy that exceed the budgets.
   *
   * @return whether a target was removed; the remaining routes then get more requests and must be
   *     checked again
   */
  private boolean removeExcessTargets(
      ProxyState proxy, Budgets budgets, double admittedShare, UrgentUpdates urgent) {
    boolean removed = false;
    for (Route route : proxy.table().routes()) {
      if (isGuarded(route) && !fitsBudgets(proxy, route, budgets, admittedShare)) {
        removed = true;
        route.setTarget(0);
        if (route.isApplied()) {
          urgent.add(proxy);
        }
      }
    }
    return removed;
  }

  /**
   * Returns whether a route has a target and its endpoint is warming up. A target of NaN counts as
   * one.
   */
  private boolean isGuarded(Route route) {
    boolean unwanted = route.target() <= 0;
    return !unwanted && !endpoints.isWarm(route.endpoint());
  }

  private boolean fitsBudgets(
      ProxyState proxy, Route route, Budgets budgets, double admittedShare) {
    int index = route.endpoint().index();
    return possibleRate(proxy, route, admittedShare, EjectionScenario.WORST_CASE)
            <= budgets.worstCase[index]
        && possibleRate(proxy, route, admittedShare, EjectionScenario.OBSERVED)
            <= budgets.observed[index];
  }

  /**
   * Returns the requests per second that a proxy may send over a route: the larger of the rates by
   * the table in use and by the targets. Both count because routes to endpoints that are not ready
   * are removed at once, while new routes wait for headroom.
   */
  private double possibleRate(
      ProxyState proxy, Route route, double admittedShare, EjectionScenario scenario) {
    double rateShareByTarget =
        route.target() / availableWeight(proxy, route, Route::target, admittedShare, scenario);
    double rateShareByWeight =
        route.weight() / availableWeight(proxy, route, Route::weight, admittedShare, scenario);
    return admittedShare * proxy.averageRate() * Math.max(rateShareByTarget, rateShareByWeight);
  }

  /**
   * Returns the weight of a proxy's routes that remains while it ejects endpoints; the route in
   * question counts with its whole weight. In the worst case each route gets an equal share of the
   * attempts, because the requests of ejected large routes go to small routes.
   *
   * @param weightOf the weights of the table in use, or the targets
   */
  private double availableWeight(
      ProxyState proxy,
      Route route,
      ToDoubleFunction<Route> weightOf,
      double admittedShare,
      EjectionScenario scenario) {
    boolean worstCase = scenario == EjectionScenario.WORST_CASE;
    double total = 0;
    for (Route other : proxy.table().routes()) {
      double weight = weightOf.applyAsDouble(other);
      total += worstCase ? Math.signum(weight) : weight;
    }
    double available = weightOf.applyAsDouble(route);
    for (Route other : proxy.table().routes()) {
      double weight = weightOf.applyAsDouble(other);
      if (other != route && weight > 0) {
        double trafficShare = admittedShare * (worstCase ? 1 : weight) / total;
        double ejected = ejection.ejectedShare(proxy, other.endpoint(), trafficShare, scenario);
        available += weight * (1 - ejected);
      }
    }
    return Math.max(MIN_AVAILABLE_WEIGHT, available);
  }
}
