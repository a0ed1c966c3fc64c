package stonespring.solver;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Turns the flow into small tables. Lines that stand are kept and their weights scaled until
 * proxies and tasks both have what they should (iterative proportional fitting: of all tables on
 * the same lines the one nearest to those that stand); only where that can't reach a task's target,
 * and the gain pays for a connection, a line comes in.
 */
final class SubsetSelector {
  private static final int FITTINGS = 24; // rounds of scaling; the rest is for new lines
  private static final double EXACT = 1e-9; // share of a proxy's ops; sums differ by rounding
  private static final double FITTED =
      0.002; // share of a task's capacity; what sums tell is noisier by far
  private static final int ROUNDS = 10; // of new lines and scaling from nothing
  private static final int ROUNDS_AFTER =
      2; // where tables stand; what is left waits for the next plan
  private static final double STALLED =
      0.98; // times the last error; less gain is not worth another round
  private static final double LARGE_FILL =
      0.25; // share of a task; a table of few tasks can't carry a large proxy
  private static final double LINE_LEAST =
      0.004; // weight; a line with less is not worth its connection
  private static final double LINE_MOST =
      0.5; // weight; a task that fails takes no more of a proxy's ops with it
  private static final double LINE_EVEN =
      1.5; // times the even share, where a table has so few lines that it is more
  private static final double IDLE = 0.1; // times the even share of a table with many lines
  private static final double SCALE_MOST =
      4; // times in one fitting; lines with no ops at all come back in steps
  private static final double SHORT = 0.02; // share of a task's capacity; less is the error of sums
  private static final double HORIZON =
      10; // s that a line surely stands, over which its gain is reckoned
  private static final double STILL = 0.02; // share of a table; less is not worth a message
  private static final double GAIN_LEAST =
      0.003; // share of the cost; sums tell no less, and scaling never quite ends
  private static final double UNFIT = 0.3; // share of bad tries; calm tasks show less
  private static final double TYPE_LEAST =
      0.05; // times; an op type keeps some lines however bad all are

  private final Problem problem;
  private final Flow flow;
  private final int[][] line;
  private final double[][] ops;
  private final double[] demand;
  private final double[] named;
  private final double[][] sent;
  private final double[] load;
  private final int[] unmet;
  private double meanCapacity;
  private boolean anyWarm;

  private SubsetSelector(Problem problem, Flow flow, Plan before) {
    this.problem = problem;
    this.flow = flow;
    int proxies = problem.proxy.length;
    int tasks = problem.task.length;
    line = new int[proxies][0];
    ops = new double[proxies][0];
    demand = new double[proxies];
    named = new double[tasks];
    sent = new double[problem.zones][tasks];
    load = new double[tasks];
    unmet = new int[tasks];
    for (Problem.Task t : problem.task) {
      meanCapacity += t.capacity() / tasks;
      anyWarm |= t.warm();
    }
    for (Plan.Share s : before == null ? List.<Plan.Share>of() : before.shares()) {
      Integer t = problem.taskIndex.get(s.task());
      if (t != null) {
        unmet[t] = s.unmet();
      }
    }
  }

  static Plan plan(Problem problem, Flow flow, Plan before) {
    SubsetSelector s = new SubsetSelector(problem, flow, before);
    if (problem.task.length > 0) {
      s.stand();
      s.draw();
      for (int round = 0; round < (before == null ? ROUNDS : ROUNDS_AFTER); round++) {
        s.fit();
        s.drop();
        if (!s.addLines()) {
          break;
        }
      }
      s.fit();
      s.drop();
      if (!s.keepAll()) {
        s.keepStill();
      }
      s.capCold();
    }
    return s.result();
  }

  // ---- Lines that stand, and those of new proxies.

  private void stand() {
    for (int p = 0; p < line.length; p++) {
      List<Problem.Line> there = new ArrayList<>();
      double sum = 0;
      for (Problem.Line l : problem.proxy[p].standing()) {
        Integer t = problem.taskIndex.get(l.task());
        if (t != null && l.weight() > 0) {
          there.add(l);
          sum += l.weight();
        }
      }
      demand[p] = problem.proxy[p].all();
      line[p] = new int[there.size()];
      ops[p] = new double[there.size()];
      for (int i = 0; i < line[p].length; i++) {
        line[p][i] = problem.taskIndex.get(there.get(i).task());
        ops[p][i] = demand[p] * there.get(i).weight() / sum;
        named[line[p][i]] += demand[p];
      }
    }
  }

  private int wanted(int p) {
    int large =
        (int) Math.min(problem.task.length, Math.ceil(demand[p] / (LARGE_FILL * meanCapacity)));
    return Math.min(problem.task.length, Math.max(problem.lineLimit, large));
  }

  private void add(int p, int t, double part) {
    int n = line[p].length;
    line[p] = Arrays.copyOf(line[p], n + 1);
    ops[p] = Arrays.copyOf(ops[p], n + 1);
    line[p][n] = t;
    ops[p][n] = part;
    named[t] += demand[p];
  }

  private boolean names(int p, int t) {
    for (int each : line[p]) {
      if (each == t) {
        return true;
      }
    }
    return false;
  }

  private boolean mayName(int p, int t) {
    return !names(p, t) && named[t] + demand[p] <= problem.task[t].namedMost();
  }

  /**
   * Proxies with too few lines draw them by weighted rendezvous (Schindelhauer and Schomaker,
   * 2005): each by itself finds the same tasks again, and a task that comes or goes moves only its
   * own lines. Small ones first: cold tasks are theirs.
   */
  private void draw() {
    List<Integer> smallFirst = new ArrayList<>();
    for (int p = 0; p < line.length; p++) {
      if (line[p].length == 0 || !hasWarm(p) && anyWarm) {
        smallFirst.add(p);
      }
    }
    if (smallFirst.isEmpty()) {
      return;
    }
    smallFirst.sort(Comparator.comparingDouble(p -> demand[p]));
    int tasks = problem.task.length;
    int[] salt = new int[tasks];
    for (int t = 0; t < tasks; t++) {
      CRC32 name = new CRC32();
      name.update(problem.task[t].id().name().getBytes(StandardCharsets.UTF_8));
      salt[t] = (int) name.getValue();
    }
    CRC32 crc = new CRC32();
    ByteBuffer both = ByteBuffer.allocate(8);
    for (int p : smallFirst) {
      int z = problem.proxy[p].zone().index();
      double[] rank = new double[tasks];
      for (int t = 0; t < tasks; t++) {
        crc.reset();
        crc.update(both.putInt(0, problem.proxy[p].id().number()).putInt(4, salt[t]).array());
        double chance = (crc.getValue() + 0.5) / 4294967296.0;
        double weight = Math.max(1e-9 * meanCapacity, flow.target(z, t));
        rank[t] = -Math.log(chance) / weight;
      }
      int count = wanted(p);
      boolean fresh = line[p].length == 0;
      for (int t : nearest(rank, count)) {
        if (fresh && line[p].length < count && mayName(p, t)) {
          add(p, t, 0);
        }
      }
      if (anyWarm && !hasWarm(p)) {
        int best = -1;
        for (int t = 0; t < tasks; t++) {
          best = problem.task[t].warm() && (best < 0 || rank[t] < rank[best]) ? t : best;
        }
        add(p, best, 0);
      }
      double sum = 0;
      for (int t : line[p]) {
        sum += flow.target(z, t) + 1e-9 * meanCapacity;
      }
      for (int i = 0; i < line[p].length; i++) {
        double even = demand[p] * (flow.target(z, line[p][i]) + 1e-9 * meanCapacity) / sum;
        ops[p][i] = fresh ? even : Math.max(ops[p][i], LINE_LEAST * demand[p]);
      }
    }
  }

  /**
   * The tasks of lowest rank, lowest first, some more than wanted as cold ones may have no room.
   */
  private static List<Integer> nearest(double[] rank, int wanted) {
    double[] sorted = rank.clone();
    Arrays.sort(sorted);
    double last = sorted[Math.min(sorted.length, 2 * wanted + 8) - 1];
    List<Integer> order = new ArrayList<>();
    for (int t = 0; t < rank.length; t++) {
      if (rank[t] <= last) {
        order.add(t);
      }
    }
    order.sort(Comparator.comparingDouble(t -> rank[t]));
    return order;
  }

  private boolean hasWarm(int p) {
    for (int t : line[p]) {
      if (problem.task[t].warm()) {
        return true;
      }
    }
    return false;
  }

  // ---- Scaling.

  private void sumUp() {
    for (double[] of : sent) {
      Arrays.fill(of, 0);
    }
    Arrays.fill(load, 0);
    for (int p = 0; p < line.length; p++) {
      double[] of = sent[problem.proxy[p].zone().index()];
      for (int i = 0; i < line[p].length; i++) {
        of[line[p][i]] += ops[p][i];
        load[line[p][i]] += ops[p][i];
      }
    }
  }

  private void fit() {
    double last = Double.POSITIVE_INFINITY;
    for (int round = 0; round < FITTINGS; round++) {
      sumUp();
      double error = misfit();
      if (error < FITTED || error > STALLED * last) {
        return;
      }
      last = error;
      for (int p = 0; p < line.length; p++) {
        int z = problem.proxy[p].zone().index();
        double sum = 0;
        for (int i = 0; i < line[p].length; i++) {
          int t = line[p][i];
          double by = flow.target(z, t) / Math.max(1e-12, sent[z][t]);
          ops[p][i] *= Math.max(1 / SCALE_MOST, Math.min(SCALE_MOST, by));
          sum += ops[p][i];
        }
        for (int i = 0; sum > 0 && i < line[p].length; i++) {
          ops[p][i] *= demand[p] / sum;
        }
        spread(p);
      }
    }
    sumUp();
  }

  /**
   * What one line has over its most goes to the others. Scaling alone once left two thirds of a
   * proxy's ops on one task: when its zone was lost, the one line that came for it had all of that,
   * and picks of two had nothing to choose from.
   */
  private void spread(int p) {
    double most = demand[p] * Math.max(LINE_MOST, LINE_EVEN / line[p].length);
    for (int round = 0; round < line[p].length; round++) {
      double over = 0;
      double rest = 0;
      for (double part : ops[p]) {
        over += Math.max(0, part - most);
        rest += part < most ? part : 0;
      }
      if (over <= EXACT * demand[p] || rest <= 0) {
        return;
      }
      for (int i = 0; i < line[p].length; i++) {
        ops[p][i] = ops[p][i] < most ? ops[p][i] * (1 + over / rest) : most;
      }
    }
  }

  /** The mean share of a task's capacity by which it gets too much or too little. */
  private double misfit() {
    double sum = 0;
    for (int z = 0; z < problem.zones; z++) {
      for (int t = 0; t < load.length; t++) {
        sum += Math.abs(sent[z][t] - flow.target(z, t)) / problem.task[t].capacity();
      }
    }
    return sum / load.length;
  }

  // ---- New lines.

  private record Donor(int proxy, int index, double part) {}

  /** What one more op there loses now, by the tables as they are. */
  private double priceNow(int t) {
    return Flow.taskPrice(problem, t, load[t]);
  }

  private boolean addLines() {
    boolean added = false;
    for (int z = 0; z < problem.zones; z++) {
      added |= addLines(z);
    }
    return added;
  }

  private boolean addLines(int z) {
    List<Integer> shortOf = new ArrayList<>();
    for (int t = 0; t < load.length; t++) {
      if (flow.target(z, t) - sent[z][t] > SHORT * problem.task[t].capacity()) {
        shortOf.add(t);
      }
    }
    if (shortOf.isEmpty()) {
      return false;
    }
    shortOf.sort(Comparator.comparingDouble(t -> sent[z][t] - flow.target(z, t)));
    List<Donor> donors = new ArrayList<>();
    for (int p = 0; p < line.length; p++) {
      for (int i = 0; problem.proxy[p].zone().index() == z && i < line[p].length; i++) {
        int t = line[p][i];
        double over = sent[z][t] - flow.target(z, t);
        if (over > 0) {
          donors.add(new Donor(p, i, ops[p][i] * Math.min(1, 2 * over / sent[z][t])));
        }
      }
    }
    donors.sort(Comparator.comparingDouble(d -> -d.part));
    double[] lost = new double[load.length];
    for (int t = 0; t < lost.length; t++) {
      lost[t] = priceNow(t) + flow.linePrice(z, t);
    }
    boolean[] used = new boolean[line.length];
    boolean added = false;
    for (int t : shortOf) {
      double rest = flow.target(z, t) - sent[z][t];
      for (Donor d : donors) {
        if (rest <= SHORT * problem.task[t].capacity()) {
          break;
        }
        if (used[d.proxy]) {
          continue;
        }
        double part = Math.min(d.part, rest);
        double gain = part * HORIZON * (1 + unmet[t]) * (lost[line[d.proxy][d.index]] - lost[t]);
        boolean pays =
            gain > (problem.proxy[d.proxy].standing().isEmpty() ? 0 : problem.prices.newLine());
        if (!pays || line[d.proxy].length > wanted(d.proxy) || !mayName(d.proxy, t)) {
          continue;
        }
        used[d.proxy] = true;
        added = true;
        add(d.proxy, t, part);
        ops[d.proxy][d.index] -= part;
        rest -= part;
      }
    }
    return added;
  }

  // ---- What is not worth it.

  /**
   * Lines with next to no ops go, and the least where a table is over its limit; a warm one always
   * stays.
   */
  private void drop() {
    for (int p = 0; p < line.length; p++) {
      boolean look = true;
      while (look && line[p].length > 1) {
        int least = -1;
        int warm = 0;
        for (int i = 0; i < line[p].length; i++) {
          warm += problem.task[line[p][i]].warm() ? 1 : 0;
        }
        for (int i = 0; i < line[p].length; i++) {
          boolean last = warm == 1 && problem.task[line[p][i]].warm();
          if (!last && (least < 0 || ops[p][i] < ops[p][least])) {
            least = i;
          }
        }
        // Of a huge proxy's many lines each has little: one that carried a third of all ops once
        // lost most of them.
        double worth = Math.min(LINE_LEAST, IDLE / line[p].length);
        boolean idle = least >= 0 && ops[p][least] < worth * demand[p];
        look = least >= 0 && (idle || line[p].length > wanted(p));
        if (look) {
          remove(p, least);
        }
      }
    }
    sumUp();
  }

  private void remove(int p, int at) {
    double rest = demand[p] - ops[p][at];
    named[line[p][at]] -= demand[p];
    int n = line[p].length - 1;
    int[] lines = new int[n];
    double[] parts = new double[n];
    for (int i = 0, to = 0; i <= n; i++) {
      if (i != at) {
        lines[to] = line[p][i];
        parts[to++] = rest > 0 ? ops[p][i] * demand[p] / rest : demand[p] / n;
      }
    }
    line[p] = lines;
    ops[p] = parts;
  }

  /**
   * Where lines can't reach all targets, scaling has no end: each plan once moved a tenth of the
   * weights on, for nothing. So tables whose lines neither come nor go stay, if all are about as
   * good with them as they stand.
   */
  private boolean keepAll() {
    double aimed = cost();
    double[][] better = ops.clone();
    for (int p = 0; p < line.length; p++) {
      double[] held = held(p);
      for (int i = 0; held != null && i < held.length; i++) {
        held[i] *= demand[p];
      }
      ops[p] = held == null ? ops[p] : held;
    }
    sumUp();
    if (cost() * (1 - GAIN_LEAST) <= aimed) {
      return true;
    }
    System.arraycopy(better, 0, ops, 0, better.length);
    sumUp();
    return false;
  }

  /** Ops lost a second by the tables as they are. */
  private double cost() {
    double cost = Flow.lateness(problem, load);
    for (int p = 0; p < line.length; p++) {
      for (int i = 0; i < line[p].length; i++) {
        cost += ops[p][i] * flow.linePrice(problem.proxy[p].zone().index(), line[p][i]);
      }
    }
    return cost;
  }

  /**
   * A table that would change little stays as it is, unless that keeps a task of it over its
   * target.
   */
  private void keepStill() {
    for (int p = 0; p < line.length; p++) {
      double[] held = held(p);
      if (held == null || demand[p] <= 0) {
        continue;
      }
      double change = 0;
      boolean over = false;
      for (int i = 0; i < held.length; i++) {
        change += Math.abs(held[i] - ops[p][i] / demand[p]) / 2;
        int t = line[p][i];
        over |=
            load[t] > flow.load(t) + SHORT * problem.task[t].capacity()
                && held[i] * demand[p] > ops[p][i];
      }
      if (change > STILL || over) {
        continue;
      }
      for (int i = 0; i < held.length; i++) {
        load[line[p][i]] += held[i] * demand[p] - ops[p][i];
        ops[p][i] = held[i] * demand[p];
      }
    }
    sumUp();
  }

  /** Weights that a proxy holds for the lines it shall have; null if the lines differ. */
  private double[] held(int p) {
    List<Problem.Line> standing = problem.proxy[p].standing();
    if (standing.size() != line[p].length) {
      return null;
    }
    double[] held = new double[line[p].length];
    double sum = 0;
    for (Problem.Line l : standing) {
      sum += l.weight();
    }
    for (Problem.Line l : standing) {
      Integer t = problem.taskIndex.get(l.task());
      int at = -1;
      for (int i = 0; t != null && i < held.length; i++) {
        at = line[p][i] == t ? i : at;
      }
      if (at < 0 || sum <= 0) {
        return null;
      }
      held[at] = l.weight() / sum;
    }
    return held;
  }

  /**
   * Whatever the fitting left: what a cold task may not get goes to the warm lines of the same
   * tables.
   */
  private void capCold() {
    for (int t = 0; t < load.length; t++) {
      if (load[t] <= problem.task[t].most()) {
        continue;
      }
      double keep = problem.task[t].most() / load[t];
      for (int p = 0; p < line.length; p++) {
        double warm = 0;
        for (int i = 0; i < line[p].length; i++) {
          warm += problem.task[line[p][i]].warm() ? ops[p][i] : 0;
        }
        for (int i = 0; warm > 0 && i < line[p].length; i++) {
          if (line[p][i] == t) {
            double off = ops[p][i] * (1 - keep);
            ops[p][i] -= off;
            for (int j = 0; j < line[p].length; j++) {
              ops[p][j] *= problem.task[line[p][j]].warm() ? 1 + off / warm : 1;
            }
            break;
          }
        }
      }
    }
    sumUp();
  }

  // ---- The plan.

  private Plan result() {
    List<Plan.Table> tables = new ArrayList<>();
    int fresh = 0;
    int changed = 0;
    for (int p = 0; p < line.length; p++) {
      Problem.Proxy proxy = problem.proxy[p];
      List<Plan.Line> lines = new ArrayList<>();
      for (int i = 0; i < line[p].length; i++) {
        Problem.Task t = problem.task[line[p][i]];
        double weight = demand[p] > 0 ? ops[p][i] / demand[p] : 1.0 / line[p].length;
        lines.add(new Plan.Line(t.id(), weight, new double[problem.opTypes]));
      }
      for (int k = 0; k < problem.opTypes; k++) {
        byOpType(lines, k);
      }
      double sum = proxy.standing().stream().mapToDouble(Problem.Line::weight).sum();
      for (Plan.Line l : lines) {
        Problem.Line was =
            proxy.standing().stream()
                .filter(s -> s.task().equals(l.task()))
                .findFirst()
                .orElse(null);
        fresh += was == null ? 1 : 0;
        changed += was == null || Math.abs(was.weight() / sum - l.weight()) > STILL / 2 ? 1 : 0;
      }
      changed +=
          (int)
              proxy.standing().stream()
                  .filter(s -> lines.stream().noneMatch(l -> l.task().equals(s.task())))
                  .count();
      tables.add(new Plan.Table(proxy.id(), lines));
    }
    List<Plan.Share> shares = new ArrayList<>();
    for (int t = 0; t < load.length; t++) {
      shares.add(share(t));
    }
    return new Plan(tables, shares, cost(), flow.lowerBound(), flow.unplaced(), fresh, changed);
  }

  private void byOpType(List<Plan.Line> lines, int k) {
    double sum = 0;
    for (Plan.Line l : lines) {
      double unfit = problem.task[problem.taskIndex.get(l.task())].unfit()[k];
      l.byOpType()[k] = Math.max(1e-6, l.weight()) * Math.max(TYPE_LEAST, 1 - unfit);
      sum += l.byOpType()[k];
    }
    for (Plan.Line l : lines) {
      l.byOpType()[k] /= sum;
    }
  }

  private Plan.Share share(int t) {
    Problem.Task task = problem.task[t];
    double target = flow.load(t);
    double missing = 0;
    for (int z = 0; z < problem.zones; z++) {
      missing += Math.max(0, flow.target(z, t) - sent[z][t]);
    }
    boolean few = missing > SHORT * task.capacity() && load[t] < target;
    double unfit = Arrays.stream(task.unfit()).average().orElse(0);
    Plan.Reason why =
        task.most() <= load[t] * (1 + SHORT)
            ? Plan.Reason.COLD_CAP
            : few
                ? Plan.Reason.FEW_LINES
                : unfit > UNFIT ? Plan.Reason.UNFIT : Plan.Reason.BALANCED;
    return new Plan.Share(
        task.id(), task.capacity(), load[t], target, priceNow(t), why, few ? unmet[t] + 1 : 0);
  }
}
