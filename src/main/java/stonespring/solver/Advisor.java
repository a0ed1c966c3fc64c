package stonespring.solver;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.model.Order;
import stonespring.model.ProxyId;
import stonespring.model.Settings;
import stonespring.model.TaskId;
import stonespring.model.Tenths;
import stonespring.model.ZoneId;

/**
 * Sees what the decision module is told and what it orders, and proposes weights to it. It never
 * orders anything itself: a proposal is an event of the module's interface, and one that never
 * comes leaves the module as it is.
 */
public final class Advisor {
  private static final double BUSY_LEAST = 0.1; // share; costs read from less are mostly noise
  private static final double SMOOTH_HALF = 20_000; // 0.1 ms; as steady as it is quick
  private static final double CLAIM_HALF =
      20_000; // 0.1 ms; a task's speed changes by the minute, its reports by the second
  private static final double DOUBT = 4; // tries; fewer say nothing of a bad share
  private static final double LATE_MOST =
      1; // times the target latency as a mean; then most are late
  private static final double NAMED_MOST =
      0.8; // share of the fall limit, all proxies' ops together
  private static final double PART_LEAST =
      0.01; // share of the fleet; fewer proxies still need room
  private static final int ROUNDS_FIRST =
      5; // rounds of sums; an instance that started knows little, and tables stand
  private static final double LATENESS =
      3.5; // ops lost for one more on a full task: half of its ops are late then, as the module has
  // it
  private static final double NEW_LINE =
      0.1; // ops lost for a connection: a handshake's work, and some

  private static final class Known {
    private ZoneId zone;
    private boolean ready;
    private long started;
    private double tries;
    private double bad;
    private long turnTries;
    private long turnVain;
    private long turnSpan;
    private double busy;
    private double told;
    private double able = Double.NaN;
  }

  private static final class Joined {
    private ZoneId zone;
    private final double[] ops;
    private final TreeMap<String, Double> lines = new TreeMap<>();

    Joined(int opTypes) {
      ops = new double[opTypes];
    }
  }

  private final Settings settings;
  private final long target;
  private final Trust trust = new Trust();
  private final Solver solver = new Solver();
  private final TreeMap<String, Known> tasks = new TreeMap<>();
  private final TreeMap<Integer, Joined> proxies = new TreeMap<>();
  private Plan plan;
  private int rounds;

  public Advisor(Settings settings) {
    this.settings = settings;
    this.target =
        settings.opTypes().stream()
            .mapToLong(type -> type.targetLatency())
            .min()
            .orElse(Tenths.SECOND);
  }

  /** What the module is told. */
  public void take(long now, Event event) {
    if (event instanceof Event.ListTold e) {
      list(e);
    } else if (event instanceof Event.TaskSums e) {
      sums(e);
    } else if (event instanceof Event.ProxyJoined e) {
      Joined p = new Joined(settings.opTypes().size());
      p.zone = e.zone();
      Arrays.fill(p.ops, e.opsPerSecond() / p.ops.length);
      proxies.put(e.proxy().number(), p);
    } else if (event instanceof Event.ProxyLeft e) {
      proxies.remove(e.proxy().number());
    } else if (event instanceof Event.ProxyOps e && proxies.containsKey(e.proxy().number())) {
      double[] ops = proxies.get(e.proxy().number()).ops;
      double keep = Math.pow(0.5, e.span() / SMOOTH_HALF);
      double seen = e.ops() * (double) Tenths.SECOND / Math.max(1, e.span());
      ops[e.opType().index()] = keep * ops[e.opType().index()] + (1 - keep) * seen;
    }
  }

  private void list(Event.ListTold e) {
    if (e.kind() == Event.ListKind.FAILED) {
      return;
    }
    if (e.kind() == Event.ListKind.WHOLE && !settings.droppedStayOpen()) {
      Set<String> listed =
          e.entries().stream().map(l -> l.task().name()).collect(Collectors.toSet());
      tasks.keySet().stream()
          .filter(name -> !listed.contains(name))
          .map(TaskId::new)
          .forEach(trust::gone);
      tasks.keySet().retainAll(listed);
    }
    for (Listing l : e.entries()) {
      if (l.state() == Listing.State.GONE) {
        if (!settings.droppedStayOpen()) {
          tasks.remove(
              l.task().name()); // names come and go with each deploy: nothing is kept of the gone
          trust.gone(l.task());
        }
        continue; // where lists call running tasks gone: if it doesn't run on, its tries fail and
        // its price tells
      }
      Known t = tasks.computeIfAbsent(l.task().name(), name -> new Known());
      t.zone = l.zone();
      t.ready = l.state() == Listing.State.READY;
      if (l.startedAt() > t.started) {
        trust.startedAnew(l.task());
        t.tries = t.bad = 0;
        t.able = Double.NaN;
        t.started = l.startedAt();
      }
      trust.listed(l.task(), l.weight() > 0 ? l.weight() : 1);
    }
  }

  private void sums(Event.TaskSums e) {
    Known t = tasks.get(e.task().name());
    if (t == null) {
      return;
    }
    double keep = Math.pow(0.5, e.span() / SMOOTH_HALF);
    t.tries = t.tries * keep + e.tries();
    t.bad = t.bad * keep + e.bad();
    // Each zone tells its own part of a turn: only all of them together are what a task got.
    t.turnTries += e.tries();
    t.turnVain += e.goodLatency() > LATE_MOST * target ? e.tries() : e.bad();
    t.turnSpan = Math.max(t.turnSpan, e.span());
    t.busy = e.report().busyShare();
    t.told = e.report().opsPerSecond();
  }

  private void settle(TaskId id, Known t, long now) {
    if (t.turnSpan <= 0) {
      return;
    }
    double ours = t.turnTries * (double) Tenths.SECOND / t.turnSpan;
    double all = Double.isNaN(t.told) ? ours / part() : Math.max(t.told, ours);
    trust.met(id, t.turnTries, t.turnVain, t.turnSpan, all - ours, now);
    // What a cold task seems to do says little of the warm one: its own claim waits until it is.
    if (t.busy > BUSY_LEAST && all > 0 && settings.warmth(t.started, now) >= 1) {
      // One report's noise moved weights by a tenth each round: a claim is the mean of some.
      double keep = Double.isNaN(t.able) ? 0 : Math.pow(0.5, t.turnSpan / CLAIM_HALF);
      t.able = keep == 0 ? all / t.busy : keep * t.able + (1 - keep) * all / t.busy;
      trust.claimed(id, Trust.Source.TASK, t.able, now);
    }
    t.turnTries = t.turnVain = t.turnSpan = 0;
  }

  /** What the module orders: the lines that proxies hold. */
  public void ordered(Order order) {
    if (order instanceof Order.SetLine o && proxies.containsKey(o.table().number())) {
      Map<String, Double> lines = proxies.get(o.table().number()).lines;
      if (o.weight() > 0) {
        lines.put(o.task().name(), o.weight());
      } else {
        lines.remove(o.task().name());
      }
    }
  }

  /**
   * Our part of the fleet's proxies: each has one instance, so the parts never sum to more than 1.
   */
  private double part() {
    return settings.assigners() == 1
        ? 1
        : Math.max(
            PART_LEAST, Math.min(1, (double) proxies.size() / Math.max(1, settings.proxies())));
  }

  /**
   * Called once a round of sums: proposals for all joined proxies; none in the first rounds, or
   * while no task is ready.
   */
  public List<Event.Proposed> propose(long now) {
    double tries = tasks.values().stream().mapToDouble(t -> t.turnTries).sum();
    trust.fleetMet(
        tasks.values().stream().mapToDouble(t -> t.turnVain).sum() / Math.max(DOUBT, tries));
    tasks.forEach((name, t) -> settle(new TaskId(name), t, now));
    List<Problem.Task> ready = new ArrayList<>();
    double part = part();
    for (Trust.Judgement j : trust.judge(now)) {
      Known t = tasks.get(j.task().name());
      if (t == null || !t.ready || !(j.capacity() > 0)) {
        continue;
      }
      double warmth = settings.warmth(t.started, now);
      double able = j.capacity() * warmth * part;
      double[] unfit = new double[settings.opTypes().size()];
      Arrays.fill(unfit, Math.min(1, t.bad / (t.tries + DOUBT)));
      boolean cold = warmth < 1;
      ready.add(
          new Problem.Task(
              j.task(),
              t.zone,
              able,
              cold ? able : Double.POSITIVE_INFINITY,
              cold ? NAMED_MOST * settings.fallMultiple() * able : Double.POSITIVE_INFINITY,
              unfit));
    }
    if (rounds++ < ROUNDS_FIRST || ready.isEmpty() || proxies.isEmpty() || settings.slices()) {
      plan = null;
      return List.of();
    }
    List<Problem.Proxy> joined = new ArrayList<>();
    proxies.forEach(
        (number, p) ->
            joined.add(
                new Problem.Proxy(
                    new ProxyId(number),
                    p.zone,
                    p.ops.clone(),
                    p.lines.entrySet().stream()
                        .map(l -> new Problem.Line(new TaskId(l.getKey()), l.getValue()))
                        .toList())));
    plan =
        solver.solve(
            new Problem(
                settings.zones(),
                settings.opTypes().size(),
                Math.max(1, settings.standingLines()),
                new Prices(LATENESS, settings.crossZonePrice(), NEW_LINE),
                ready,
                joined));
    List<Event.Proposed> all = new ArrayList<>();
    for (Plan.Table table : plan.tables()) {
      List<Event.Proposed.Share> lines =
          table.lines().stream().map(l -> new Event.Proposed.Share(l.task(), l.weight())).toList();
      all.add(new Event.Proposed(table.proxy(), lines));
    }
    return all;
  }

  /** The last plan; null if there is none. */
  public Plan plan() {
    return plan;
  }
}
