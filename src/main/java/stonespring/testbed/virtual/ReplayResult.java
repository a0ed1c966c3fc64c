package stonespring.testbed.virtual;

import java.util.List;

/**
 * The result of replaying a recorded load under one policy with one seed.
 *
 * @param policy the policy under which the load was replayed
 * @param seed the seed of the random draws during the replay
 * @param windows the requests grouped by start time into windows of {@link #WINDOW_DECI_MILLIS}, in
 *     order of time; windows without a request are omitted
 * @param attempts totals over all attempts
 * @param routes totals over the route tables of all proxies
 */
public record ReplayResult(
    Policy policy, long seed, List<Window> windows, AttemptTotals attempts, RouteTotals routes) {
  /** Length of a window. */
  public static final long WINDOW_DECI_MILLIS = 50_000;

  /** Lower bound of divisors that are sums of weights, to avoid division by 0. */
  static final double MIN_WEIGHT = 1e-9;

  /**
   * The requests that started in one window.
   *
   * @param weightRequested sum of the priority weights of all requests
   * @param weightInTime sum of the priority weights of requests answered within their latency
   *     objective
   * @param requests number of requests
   * @param rejected number of requests rejected by admission control
   * @param timedOut number of requests without an answer at their deadline
   */
  public record Window(
      double weightRequested, double weightInTime, long requests, long rejected, long timedOut) {
    /** Returns the fraction of the requested weight that was answered within the objective. */
    double service() {
      return weightInTime / Math.max(MIN_WEIGHT, weightRequested);
    }
  }

  /**
   * Totals over the attempts of all proxies.
   *
   * @param connections number of connections opened
   * @param crossZoneFraction fraction of the attempts that went to another zone than the proxy's
   * @param peakWarmUpLoad the peak work that an endpoint received during warm-up, as a fraction of
   *     the overload limit
   */
  public record AttemptTotals(long connections, double crossZoneFraction, double peakWarmUpLoad) {}

  /**
   * Totals over the route tables of all proxies.
   *
   * @param routeChanges number of route changes applied by proxies, including their first tables
   * @param secondsWithoutRoutes time without any route, summed over proxies, seconds
   * @param plans number of plans made by the weight solver; 0 for policies without a solver
   */
  public record RouteTotals(long routeChanges, double secondsWithoutRoutes, long plans) {}

  /**
   * Returns the fraction of the requested weight that was answered within the latency objective; 1
   * if there was no request.
   */
  public double service() {
    double requested = windows.stream().mapToDouble(Window::weightRequested).sum();
    if (requested == 0) {
      return 1;
    }
    return windows.stream().mapToDouble(Window::weightInTime).sum() / requested;
  }
}
