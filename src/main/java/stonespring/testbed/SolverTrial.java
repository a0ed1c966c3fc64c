package stonespring.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.ZoneId;
import stonespring.solver.CostModel;
import stonespring.solver.Plan;
import stonespring.solver.Problem;
import stonespring.solver.Solver;

/**
 * A random fleet for measuring the solver in isolation. Endpoint capacities differ, one endpoint in
 * 25 is warming up, and a few proxies have most of the requests.
 */
public final class SolverTrial {
  private static final int ZONES = 4;
  private static final int REQUEST_CLASSES = 3;
  private static final int ROUTES_PER_TABLE = 10;
  private static final double UTILIZATION = 0.65; // fraction of the total capacity
  private static final double WARM_UP_FRACTION = 0.3; // capacity of warming-up endpoints
  private static final int WARM_UP_ROUNDS = 3; // run before the measured rounds
  private static final int INCREMENTAL_SOLVES_PER_ROUND = 8;
  private static final CostModel COST_MODEL = new CostModel(1, 0.06, 0.2);

  private final SplittableRandom random;
  private final List<Problem.Endpoint> endpoints = new ArrayList<>();
  private final List<Problem.Proxy> proxies = new ArrayList<>();

  /**
   * Creates a random fleet; equal arguments give equal fleets.
   *
   * @param endpointCount at least 1
   */
  SolverTrial(long seed, int endpointCount, int proxyCount) {
    random = new SplittableRandom(seed);
    double totalCapacity = 0;
    for (int t = 0; t < endpointCount; t++) {
      double capacity = 5 + 20 * random.nextDouble();
      boolean warmingUp = t % 25 == 24;
      double currentCapacity = warmingUp ? WARM_UP_FRACTION * capacity : capacity;
      endpoints.add(
          new Problem.Endpoint(
              new EndpointId("t" + t),
              new ZoneId(random.nextInt(ZONES)),
              currentCapacity,
              warmingUp ? currentCapacity : Double.POSITIVE_INFINITY,
              warmingUp ? 2 * currentCapacity : Double.POSITIVE_INFINITY,
              new double[REQUEST_CLASSES]));
      totalCapacity += currentCapacity;
    }
    double[] sizes = new double[proxyCount];
    double totalSize = 0;
    for (int p = 0; p < proxyCount; p++) {
      sizes[p] = Math.pow(1 - random.nextDouble(), -0.6);
      totalSize += sizes[p];
    }
    for (int p = 0; p < proxyCount; p++) {
      double[] requests = new double[REQUEST_CLASSES];
      Arrays.fill(requests, sizes[p] / totalSize * totalCapacity * UTILIZATION / REQUEST_CLASSES);
      proxies.add(
          new Problem.Proxy(
              new ProxyId(p), new ZoneId(random.nextInt(ZONES)), requests, List.of()));
    }
  }

  /**
   * Returns the solver's input for the present state of the fleet.
   *
   * @param currentPlan the plan whose routes the proxies have; null if they have none
   */
  Problem problem(Plan currentPlan) {
    List<Problem.Proxy> currentProxies = new ArrayList<>();
    for (int p = 0; p < proxies.size(); p++) {
      List<Problem.Route> routes =
          currentPlan == null ? List.of() : currentPlan.tables().get(p).toCurrentRoutes();
      currentProxies.add(
          new Problem.Proxy(
              proxies.get(p).id(), proxies.get(p).zone(), proxies.get(p).requestRates(), routes));
    }
    return new Problem(
        ZONES, REQUEST_CLASSES, ROUTES_PER_TABLE, COST_MODEL, endpoints, currentProxies);
  }

  /**
   * Changes the request rates of 1% of the proxies and the capacities of 1% of the endpoints, at
   * least one of each, by up to 30%.
   */
  void applyRandomChanges() {
    for (int i = 0; i < Math.max(1, proxies.size() / 100); i++) {
      Problem.Proxy proxy = proxies.get(random.nextInt(proxies.size()));
      double factor = 0.7 + 0.6 * random.nextDouble();
      double[] requests = Arrays.stream(proxy.requestRates()).map(rate -> rate * factor).toArray();
      proxies.set(
          proxy.id().number(), new Problem.Proxy(proxy.id(), proxy.zone(), requests, List.of()));
    }
    for (int i = 0; i < Math.max(1, endpoints.size() / 100); i++) {
      int index = random.nextInt(endpoints.size());
      Problem.Endpoint endpoint = endpoints.get(index);
      double factor = 0.7 + 0.6 * random.nextDouble();
      endpoints.set(
          index,
          new Problem.Endpoint(
              endpoint.id(),
              endpoint.zone(),
              factor * endpoint.capacity(),
              factor * endpoint.maxLoad(),
              factor * endpoint.maxDemandOfProxiesWithRoute(),
              endpoint.failureShares()));
    }
  }

  /**
   * Measures full solves and solves after small changes alternately, and returns a report of solve
   * times, of the largest optimality gap, and of the mean number of changed routes.
   */
  public static String run(int endpointCount, int proxyCount, int rounds) {
    Histogram fullSolveNanos = new Histogram(3);
    Histogram incrementalSolveNanos = new Histogram(3);
    double maxOptimalityGap = 0;
    double meanChangedRoutes = 0;
    for (int round = -WARM_UP_ROUNDS; round < rounds; round++) {
      SolverTrial trial = new SolverTrial(round + WARM_UP_ROUNDS + 1, endpointCount, proxyCount);
      Solver solver = new Solver();
      long startNanos = System.nanoTime();
      Plan plan = solver.solve(trial.problem(null));
      long durationNanos = System.nanoTime() - startNanos;
      for (int i = 0; i < INCREMENTAL_SOLVES_PER_ROUND; i++) {
        trial.applyRandomChanges();
        Problem problem = trial.problem(plan);
        startNanos = System.nanoTime();
        plan = solver.solve(problem);
        if (round >= 0) {
          incrementalSolveNanos.recordValue(System.nanoTime() - startNanos);
          meanChangedRoutes +=
              (double) plan.changedRoutes() / rounds / INCREMENTAL_SOLVES_PER_ROUND;
          maxOptimalityGap = Math.max(maxOptimalityGap, plan.optimalityGap());
        }
      }
      if (round >= 0) {
        fullSolveNanos.recordValue(durationNanos);
      }
    }
    return String.format(
        Locale.ROOT,
        "%d tasks, %d proxies, %d op types, %d rounds%n"
            + "whole solve p50 %.1f ms, p99 %.1f ms%nafter 1%% changed p50 %.1f ms, p99 %.1f ms, ratio of medians %.3f%n"
            + "at most %.2f%% over the lower bound, %.0f lines changed in the mean%n",
        endpointCount,
        proxyCount,
        REQUEST_CLASSES,
        rounds,
        fullSolveNanos.getValueAtPercentile(50) / 1e6,
        fullSolveNanos.getValueAtPercentile(99) / 1e6,
        incrementalSolveNanos.getValueAtPercentile(50) / 1e6,
        incrementalSolveNanos.getValueAtPercentile(99) / 1e6,
        (double) incrementalSolveNanos.getValueAtPercentile(50)
            / fullSolveNanos.getValueAtPercentile(50),
        100 * maxOptimalityGap,
        meanChangedRoutes);
  }
}
