package stonespring.solver;

import java.util.Arrays;

/**
 * The plan without proxies and line limits: how much of each zone's ops each task should get, ops a
 * second. A convex flow, minimum of the tasks' lateness and the lines' prices (Boyd and
 * Vandenberghe, Convex Optimization, section 5.2), solved zone by zone by water filling, each exact
 * while the others stand. The zones' prices give a lower bound of any plan.
 */
final class Flow {
  private static final double POWER =
      6; // lateness rises as fill to this power: little at half, all at full
  private static final double CLOSE =
      0.001; // share of the cost; a plan this near to its bound is good enough
  private static final int SWEEPS_MOST =
      200; // times over all zones; far more than were ever needed
  private static final double HIGHEST =
      1e6; // times the price when just full; beyond it caps alone bind
  private static final int HALVINGS = 60; // of the price; as fine as a double
  private static final double EXACT = 1e-9; // share of a zone's ops; sums differ by rounding

  private final Problem problem;
  private final double[] demand;
  private final double[][] price;
  private final double[] load;
  private final double[] zonePrice;
  private final double[][] flow;
  private double cost;
  private double bound;

  /**
   * @param before the flow from which to start, by task name and zone; null to start from nothing
   */
  Flow(Problem problem, Flow before) {
    this.problem = problem;
    int tasks = problem.task.length;
    demand = new double[problem.zones];
    price = new double[problem.zones][tasks];
    flow = new double[problem.zones][tasks];
    zonePrice = new double[problem.zones];
    load = new double[tasks];
    for (Problem.Proxy p : problem.proxy) {
      demand[p.zone().index()] += p.all();
    }
    for (int z = 0; z < problem.zones; z++) {
      for (int t = 0; t < tasks; t++) {
        price[z][t] = problem.linePrice(z, t);
      }
    }
    if (before != null && before.problem.zones == problem.zones) {
      startFrom(before);
    }
    if (tasks > 0) {
      solve();
    }
  }

  private void startFrom(Flow before) {
    System.arraycopy(before.zonePrice, 0, zonePrice, 0, problem.zones);
    for (int t = 0; t < problem.task.length; t++) {
      Integer old = before.problem.taskIndex.get(problem.task[t].id());
      for (int z = 0; old != null && z < problem.zones; z++) {
        flow[z][t] = Math.min(before.flow[z][old], problem.task[t].most() - load[t]);
        load[t] += flow[z][t];
      }
    }
  }

  private void solve() {
    for (int sweep = 0; sweep < SWEEPS_MOST; sweep++) {
      for (int z = 0; z < problem.zones; z++) {
        fill(z);
      }
      cost = cost();
      bound = bound();
      if (cost - bound <= CLOSE * Math.abs(cost)) {
        return;
      }
    }
  }

  /**
   * What a task takes in all, ops a second, at the price that the best-paying zone leaves for its
   * time.
   */
  private double takes(int t, double left) {
    if (left <= 0) {
      return 0;
    }
    double fill =
        Math.cbrt(Math.sqrt(left / problem.prices.lateness())); // the sixth root, POWER's inverse
    return Math.min(problem.task[t].most(), problem.task[t].capacity() * fill);
  }

  private double poured(int z, double at, double[] others, boolean keep) {
    double sum = 0;
    for (int t = 0; t < others.length; t++) {
      double own = Math.max(0, takes(t, at - price[z][t]) - others[t]);
      sum += own;
      if (keep) {
        flow[z][t] = own;
        load[t] = others[t] + own;
      }
    }
    return sum;
  }

  /** Pours one zone's ops where the next loses least, while the other zones' stand. */
  private void fill(int z) {
    double[] others = new double[load.length];
    for (int t = 0; t < others.length; t++) {
      others[t] = Math.max(0, load[t] - flow[z][t]);
    }
    double low = 0;
    double high = Math.max(1e-6, 2 * zonePrice[z]);
    while (poured(z, high, others, false) < demand[z]
        && high < HIGHEST * problem.prices.lateness()) {
      low = high;
      high *= 4;
    }
    double guess = zonePrice[z] > low && zonePrice[z] < high ? zonePrice[z] : (low + high) / 2;
    for (int i = 0; i < HALVINGS; i++) {
      double sum = poured(z, guess, others, false);
      if (Math.abs(sum - demand[z]) <= EXACT * demand[z]) {
        break;
      }
      if (sum < demand[z]) {
        low = guess;
      } else {
        high = guess;
      }
      // By the slope of the root that sums follow; halved where that leaves the bracket.
      double by = sum > 0 ? guess * Math.pow(demand[z] / sum, POWER) : high;
      guess = by > low && by < high && i < HALVINGS / 2 ? by : (low + high) / 2;
    }
    zonePrice[z] = guess;
    poured(z, guess, others, true);
  }

  /** Ops lost a second to lateness on all tasks that carry these loads. */
  static double lateness(Problem problem, double[] load) {
    double sum = 0;
    for (int t = 0; t < load.length; t++) {
      double fill = load[t] / problem.task[t].capacity();
      sum +=
          problem.prices.lateness()
              * problem.task[t].capacity()
              * Math.pow(fill, POWER + 1)
              / (POWER + 1);
    }
    return sum;
  }

  private double cost() {
    double sum = lateness(problem, load);
    for (int z = 0; z < problem.zones; z++) {
      for (int t = 0; t < load.length; t++) {
        sum += flow[z][t] * price[z][t];
      }
    }
    return sum;
  }

  /** Lagrange's lower bound at the zones' prices: no plan of any kind costs less. */
  private double bound() {
    double sum = 0;
    for (int z = 0; z < problem.zones; z++) {
      sum += zonePrice[z] * Math.min(demand[z], Arrays.stream(flow[z]).sum());
    }
    double[] one = new double[load.length];
    for (int t = 0; t < load.length; t++) {
      double best = 0;
      for (int z = 0; z < problem.zones; z++) {
        best = Math.max(best, zonePrice[z] - price[z][t]);
      }
      one[t] = takes(t, best);
      sum -= best * one[t];
    }
    return sum + lateness(problem, one);
  }

  double target(int z, int t) {
    return flow[z][t];
  }

  double load(int t) {
    return load[t];
  }

  /** What one more op loses at a task that carries a load, in ops. */
  static double taskPrice(Problem problem, int t, double load) {
    return problem.prices.lateness() * Math.pow(load / problem.task[t].capacity(), POWER);
  }

  /** What an op of a zone loses at a task besides lateness. */
  double linePrice(int z, int t) {
    return price[z][t];
  }

  /** Ops a second that found no task at all, as all are cold and their caps are reached. */
  double unplaced() {
    double sum = 0;
    for (int z = 0; z < problem.zones; z++) {
      sum += Math.max(0, demand[z] - Arrays.stream(flow[z]).sum());
    }
    return sum;
  }

  double lowerBound() {
    return bound;
  }

  double lowestCost() {
    return cost;
  }
}
