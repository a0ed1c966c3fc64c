package stonespring.testbed.virtual;

import java.util.List;

/**
 * What became of a recorded load under one policy and seed.
 *
 * @param policy who decided
 * @param seed of all that was drawn while it was played
 * @param windows spans of {@link #WINDOW_DECI_MILLIS} each, in order, by when their requests
 *     started; spans without a request are left out
 * @param attempts totals of all attempts at endpoints
 * @param routes totals of the proxies' route tables
 */
public record ReplayResult(
    Policy policy, long seed, List<Window> windows, AttemptTotals attempts, RouteTotals routes) {
  /** Length of a window, in {@link stonespring.model.DeciMillis}. */
  public static final long WINDOW_DECI_MILLIS = 50_000;

  /** Stands in for a sum of weights that is 0 where one divides by it. */
  static final double MIN_WEIGHT = 1e-9;

  /**
   * Requests that started in one span of time.
   *
   * @param weightRequested sum of their priority weights
   * @param weightInTime sum of the priority weights of those answered within their objective
   * @param requests how many
   * @param rejected how many of them admission control rejected
   * @param timedOut how many of them were not answered before their deadline
   */
  public record Window(
      double weightRequested, double weightInTime, long requests, long rejected, long timedOut) {
    /** The fraction of the requested weight that was answered within the objective. */
    double service() {
      return weightInTime / Math.max(MIN_WEIGHT, weightRequested);
    }
  }

  /**
   * Attempts of all proxies.
   *
   * @param connections connections opened for them
   * @param crossZoneFraction fraction of the attempts that went to another zone than the proxy's
   * @param peakWarmUpLoad the most work that an endpoint received while it warmed up, as a fraction
   *     of what makes it fail
   */
  public record AttemptTotals(long connections, double crossZoneFraction, double peakWarmUpLoad) {}

  /**
   * Route tables of all proxies.
   *
   * @param routeChanges routes changed at proxies, those of the first tables too
   * @param secondsWithoutRoutes seconds, summed over proxies, in which a proxy had no route
   * @param plans plans made by the weight solver, 0 without one
   */
  public record RouteTotals(long routeChanges, double secondsWithoutRoutes, long plans) {}

  /** The fraction of the requested weight that was answered within the objective; 1 if none was. */
  public double service() {
    double requested = windows.stream().mapToDouble(Window::weightRequested).sum();
    if (requested == 0) {
      return 1;
    }
    return windows.stream().mapToDouble(Window::weightInTime).sum() / requested;
  }
}
