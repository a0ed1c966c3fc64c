package stonespring.solver;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.Settings;
import stonespring.model.ZoneId;

/**
 * Sees what the decision module is told and what it orders, and proposes weights to it. It never
 * orders anything itself: a proposal is an event of the module's interface, and one that never
 * comes leaves the module as it is.
 */
public final class WeightAdvisor {
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
  private final ReportCredibility trust = new ReportCredibility();
  private final Solver solver = new Solver();
  private final TreeMap<String, Known> tasks = new TreeMap<>();
  private final TreeMap<Integer, Joined> proxies = new TreeMap<>();
  private Plan plan;
  private int rounds;

  public WeightAdvisor(Settings settings) {
    this.settings = settings;
    this.target =
        settings.requestClasses().stream()
            .mapToLong(type -> type.latencyObjective())
            .min()
            .orElse(DeciMillis.SECOND);
  }

  /** What the module is told. */
  public void take(long now, Event event) {
    if (event instanceof Event.EndpointListUpdate e) {
      list(e);
    } else if (event instanceof Event.EndpointOutcomes e) {
      sums(e);
    } else if (event instanceof Event.ProxyConnected e) {
      Joined p = new Joined(settings.requestClasses().size());
      p.zone = e.zone();
      Arrays.fill(p.ops, e.requestsPerSecond() / p.ops.length);
      proxies.put(e.proxy().number(), p);
    } else if (event instanceof Event.ProxyDisconnected e) {
      proxies.remove(e.proxy().number());
    } else if (event instanceof Event.ProxyRequestRate e
        && proxies.containsKey(e.proxy().number())) {
      double[] ops = proxies.get(e.proxy().number()).ops;
      double keep = Math.pow(0.5, e.interval() / SMOOTH_HALF);
      double seen = e.requests() * (double) DeciMillis.SECOND / Math.max(1, e.interval());
      ops[e.requestClass().index()] = keep * ops[e.requestClass().index()] + (1 - keep) * seen;
    }
  }

  private void list(Event.EndpointListUpdate e) {
    if (e.kind() == Event.ListUpdateKind.FETCH_FAILED) {
      return;
    }
    if (e.kind() == Event.ListUpdateKind.SNAPSHOT
        && !settings.endpointList().removedEndpointsKeepServing()) {
      Set<String> listed =
          e.endpoints().stream().map(l -> l.endpoint().name()).collect(Collectors.toSet());
      tasks.keySet().stream()
          .filter(name -> !listed.contains(name))
          .map(EndpointId::new)
          .forEach(trust::gone);
      tasks.keySet().retainAll(listed);
    }
    for (EndpointRecord l : e.endpoints()) {
      if (l.state() == EndpointRecord.State.REMOVED) {
        if (!settings.endpointList().removedEndpointsKeepServing()) {
          tasks.remove(
              l.endpoint()
                  .name()); // names come and go with each deploy: nothing is kept of the gone
          trust.gone(l.endpoint());
        }
        continue; // where lists call running tasks gone: if it doesn't run on, its tries fail and
        // its price tells
      }
      Known t = tasks.computeIfAbsent(l.endpoint().name(), name -> new Known());
      t.zone = l.zone();
      t.ready = l.state() == EndpointRecord.State.READY;
      if (l.startedAt() > t.started) {
        trust.startedAnew(l.endpoint());
        t.tries = t.bad = 0;
        t.able = Double.NaN;
        t.started = l.startedAt();
      }
      trust.listed(l.endpoint(), l.weight() > 0 ? l.weight() : 1);
    }
  }

  private void sums(Event.EndpointOutcomes e) {
    Known t = tasks.get(e.endpoint().name());
    if (t == null) {
      return;
    }
    double keep = Math.pow(0.5, e.interval() / SMOOTH_HALF);
    t.tries = t.tries * keep + e.attempts();
    t.bad = t.bad * keep + e.failures();
    // Each zone tells its own part of a turn: only all of them together are what a task got.
    t.turnTries += e.attempts();
    t.turnVain += e.successLatency() > LATE_MOST * target ? e.attempts() : e.failures();
    t.turnSpan = Math.max(t.turnSpan, e.interval());
    t.busy = e.report().utilization();
    t.told = e.report().requestsPerSecond();
  }

  private void settle(EndpointId id, Known t, long now) {
    if (t.turnSpan <= 0) {
      return;
    }
    double ours = t.turnTries * (double) DeciMillis.SECOND / t.turnSpan;
    double all = Double.isNaN(t.told) ? ours / part() : Math.max(t.told, ours);
    trust.met(id, t.turnTries, t.turnVain, t.turnSpan, all - ours, now);
    // What a cold task seems to do says little of the warm one: its own claim waits until it is.
    if (t.busy > BUSY_LEAST
        && all > 0
        && settings.slowStart().warmUpFraction(t.started, now) >= 1) {
      // One report's noise moved weights by a tenth each round: a claim is the mean of some.
      double keep = Double.isNaN(t.able) ? 0 : Math.pow(0.5, t.turnSpan / CLAIM_HALF);
      t.able = keep == 0 ? all / t.busy : keep * t.able + (1 - keep) * all / t.busy;
      trust.claimed(id, ReportCredibility.Source.TASK, t.able, now);
    }
    t.turnTries = t.turnVain = t.turnSpan = 0;
  }

  /** What the module orders: the lines that proxies hold. */
  public void ordered(Command order) {
    if (order instanceof Command.SetRoute o && proxies.containsKey(o.table().number())) {
      Map<String, Double> lines = proxies.get(o.table().number()).lines;
      if (o.weight() > 0) {
        lines.put(o.endpoint().name(), o.weight());
      } else {
        lines.remove(o.endpoint().name());
      }
    }
  }

  /**
   * Our part of the fleet's proxies: each has one instance, so the parts never sum to more than 1.
   */
  private double part() {
    return settings.fleet().instances() == 1
        ? 1
        : Math.max(
            PART_LEAST,
            Math.min(1, (double) proxies.size() / Math.max(1, settings.fleet().proxies())));
  }

  /**
   * Called once a round of sums: proposals for all joined proxies; none in the first rounds, or
   * while no task is ready.
   */
  public List<Event.WeightsProposed> propose(long now) {
    double tries = tasks.values().stream().mapToDouble(t -> t.turnTries).sum();
    trust.fleetMet(
        tasks.values().stream().mapToDouble(t -> t.turnVain).sum() / Math.max(DOUBT, tries));
    tasks.forEach((name, t) -> settle(new EndpointId(name), t, now));
    List<Problem.Task> ready = new ArrayList<>();
    double part = part();
    for (ReportCredibility.Judgement j : trust.judge(now)) {
      Known t = tasks.get(j.task().name());
      if (t == null || !t.ready || !(j.capacity() > 0)) {
        continue;
      }
      double warmth = settings.slowStart().warmUpFraction(t.started, now);
      double able = j.capacity() * warmth * part;
      double[] unfit = new double[settings.requestClasses().size()];
      Arrays.fill(unfit, Math.min(1, t.bad / (t.tries + DOUBT)));
      boolean cold = warmth < 1;
      ready.add(
          new Problem.Task(
              j.task(),
              t.zone,
              able,
              cold ? able : Double.POSITIVE_INFINITY,
              cold
                  ? NAMED_MOST * settings.slowStart().overloadMultiple() * able
                  : Double.POSITIVE_INFINITY,
              unfit));
    }
    if (rounds++ < ROUNDS_FIRST
        || ready.isEmpty()
        || proxies.isEmpty()
        || settings.fleet().sharded()) {
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
                        .map(l -> new Problem.Line(new EndpointId(l.getKey()), l.getValue()))
                        .toList())));
    plan =
        solver.solve(
            new Problem(
                settings.fleet().zones(),
                settings.requestClasses().size(),
                Math.max(1, settings.routing().bootstrapRouteCount()),
                new CostModel(LATENESS, settings.routing().crossZonePenalty(), NEW_LINE),
                ready,
                joined));
    List<Event.WeightsProposed> all = new ArrayList<>();
    for (Plan.Table table : plan.tables()) {
      List<Event.WeightsProposed.Share> lines =
          table.lines().stream()
              .map(l -> new Event.WeightsProposed.Share(l.task(), l.weight()))
              .toList();
      all.add(new Event.WeightsProposed(table.proxy(), lines));
    }
    return all;
  }

  /** The last plan; null if there is none. */
  public Plan plan() {
    return plan;
  }
}
