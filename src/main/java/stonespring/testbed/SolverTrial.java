package stonespring.testbed;

import java.util.ArrayList;
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
 * Fleets drawn from a seed, to measure the solver by itself: unlike tasks, one in 25 cold, a few
 * proxies with most ops.
 */
public final class SolverTrial {
  private static final int ZONES = 4;
  private static final int OP_TYPES = 3;
  private static final int LINES = 10;
  private static final double FILL = 0.65; // share of what the warm tasks can do
  private static final double COLD = 0.3; // share of a cold task's capacity
  private static final int WARM_UP = 3; // rounds before the first that counts
  private static final int SMALL = 8; // small changes a round
  private static final CostModel PRICES = new CostModel(1, 0.06, 0.2);

  private final SplittableRandom random;
  private final List<Problem.Endpoint> tasks = new ArrayList<>();
  private final List<Problem.Proxy> proxies = new ArrayList<>();

  /**
   * @param taskCount at least 1
   */
  SolverTrial(long seed, int taskCount, int proxyCount) {
    random = new SplittableRandom(seed);
    double able = 0;
    for (int t = 0; t < taskCount; t++) {
      double capacity = 5 + 20 * random.nextDouble();
      boolean cold = t % 25 == 24;
      double now = cold ? COLD * capacity : capacity;
      tasks.add(
          new Problem.Endpoint(
              new EndpointId("t" + t),
              new ZoneId(random.nextInt(ZONES)),
              now,
              cold ? now : Double.POSITIVE_INFINITY,
              cold ? 2 * now : Double.POSITIVE_INFINITY,
              new double[OP_TYPES]));
      able += now;
    }
    double[] size = new double[proxyCount];
    double all = 0;
    for (int p = 0; p < proxyCount; p++) {
      size[p] = Math.pow(1 - random.nextDouble(), -0.6);
      all += size[p];
    }
    for (int p = 0; p < proxyCount; p++) {
      double[] ops = new double[OP_TYPES];
      java.util.Arrays.fill(ops, size[p] / all * able * FILL / OP_TYPES);
      proxies.add(
          new Problem.Proxy(new ProxyId(p), new ZoneId(random.nextInt(ZONES)), ops, List.of()));
    }
  }

  /** The fleet as it is, with the lines of a plan held; null for none. */
  Problem problem(Plan held) {
    List<Problem.Proxy> now = new ArrayList<>();
    for (int p = 0; p < proxies.size(); p++) {
      List<Problem.Route> lines = held == null ? List.of() : held.tables().get(p).asHeld();
      now.add(
          new Problem.Proxy(
              proxies.get(p).id(), proxies.get(p).zone(), proxies.get(p).requestRates(), lines));
    }
    return new Problem(ZONES, OP_TYPES, LINES, PRICES, tasks, now);
  }

  /** One in a hundred tasks and proxies changes by up to three tenths. */
  void change() {
    for (int i = 0; i < Math.max(1, proxies.size() / 100); i++) {
      Problem.Proxy p = proxies.get(random.nextInt(proxies.size()));
      double by = 0.7 + 0.6 * random.nextDouble();
      double[] ops = java.util.Arrays.stream(p.requestRates()).map(each -> each * by).toArray();
      proxies.set(p.id().number(), new Problem.Proxy(p.id(), p.zone(), ops, List.of()));
    }
    for (int i = 0; i < Math.max(1, tasks.size() / 100); i++) {
      int at = random.nextInt(tasks.size());
      Problem.Endpoint t = tasks.get(at);
      double by = 0.7 + 0.6 * random.nextDouble();
      tasks.set(
          at,
          new Problem.Endpoint(
              t.id(),
              t.zone(),
              by * t.capacity(),
              by * t.maxLoad(),
              by * t.maxDemandOfProxiesWithRoute(),
              t.failureShares()));
    }
  }

  /**
   * Whole solves and ones after a change of one in a hundred, by turns, after some to warm up:
   * times and the gap.
   */
  public static String run(int taskCount, int proxyCount, int rounds) {
    Histogram whole = new Histogram(3);
    Histogram small = new Histogram(3);
    double gap = 0;
    double changed = 0;
    for (int round = -WARM_UP; round < rounds; round++) {
      SolverTrial trial = new SolverTrial(round + WARM_UP + 1, taskCount, proxyCount);
      Solver solver = new Solver();
      long from = System.nanoTime();
      Plan plan = solver.solve(trial.problem(null));
      long took = System.nanoTime() - from;
      for (int i = 0; i < SMALL; i++) {
        trial.change();
        Problem problem = trial.problem(plan);
        from = System.nanoTime();
        plan = solver.solve(problem);
        if (round >= 0) {
          small.recordValue(System.nanoTime() - from);
          changed += (double) plan.changedRoutes() / rounds / SMALL;
          gap = Math.max(gap, plan.gap());
        }
      }
      if (round >= 0) {
        whole.recordValue(took);
      }
    }
    return String.format(
        Locale.ROOT,
        "%d tasks, %d proxies, %d op types, %d rounds%n"
            + "whole solve p50 %.1f ms, p99 %.1f ms%nafter 1%% changed p50 %.1f ms, p99 %.1f ms, ratio of medians %.3f%n"
            + "at most %.2f%% over the lower bound, %.0f lines changed in the mean%n",
        taskCount,
        proxyCount,
        OP_TYPES,
        rounds,
        whole.getValueAtPercentile(50) / 1e6,
        whole.getValueAtPercentile(99) / 1e6,
        small.getValueAtPercentile(50) / 1e6,
        small.getValueAtPercentile(99) / 1e6,
        (double) small.getValueAtPercentile(50) / whole.getValueAtPercentile(50),
        100 * gap,
        changed);
  }
}
