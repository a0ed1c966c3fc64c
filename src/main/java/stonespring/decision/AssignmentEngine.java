package stonespring.decision;

import java.nio.ByteBuffer;
import java.util.*;
import java.util.function.*;
import java.util.stream.IntStream;
import java.util.zip.CRC32;
import stonespring.model.*;

/**
 * All decisions of one assigner. A host makes an instance with settings and a seed, gives it every
 * event of a moment through {@code take} and carries out, in order, what {@code finish} returns.
 * The interface is {@code stonespring.model.DecisionModule}; the types of events, orders and
 * settings stand beside it. An instance keeps no clock, thread or file, so that a simulator and a
 * daemon can drive it alike.
 */
public final class AssignmentEngine implements DecisionEngine {
  // ---- Constants: each with its unit and the reason for its size.

  // The mechanism.
  private static final double FILL =
      0.8; // share; the design's: a task may take 1.25 of its part of load
  private static final long CREDIT_WAIT =
      20_000; // 0.1 ms; the design's 2 s for freed room unanswered
  private static final long SHOWS_AFTER =
      30_000; // 0.1 ms; a message's, period's and lateness's time
  private static final double CYCLE = 1e9; // 0.1 ms; a cycle's potential time, above any chain
  private static final double MOVE_LEAST =
      0.05; // share of a table's ops; less is noise of the sums
  private static final double PART_LEAST = 0.1; // share of a task's capacity; a large table's noise
  // The tables.
  private static final double LINE_LEAST =
      0.01; // weight; shows a task that comes back, at little loss
  private static final double ROOM_LEAST =
      0.1; // share of a draw's weight left to a full task: some chance
  private static final double HOME_PULL = 4; // times; two lines in three at home with three zones
  private static final double HOME_ENTRY = 2; // times; four times as many home tables as others
  private static final double AWAY_START =
      0.3; // times; a new table's lines abroad until loads are heard
  private static final int LINES_LEAST =
      4; // lines; with fewer a bad task is a third of a proxy's ops
  private static final double TABLE_FILL =
      0.3; // share of its tasks' capacity that one proxy may take
  private static final double IDLE_FILL =
      0.6; // share of mean fill; an ordinary spread stays above it
  private static final long ENTER_AGAIN = 50_000; // 0.1 ms; an entry shows in the sums by then
  // The weights of lines.
  private static final int WEIGHING_ROUNDS = 40; // rounds; weights move under a percent after that
  private static final double LOSS_POWER =
      6; // power of fill; few ops are lost at half, half when full
  private static final double STEEP_LEAST = 30; // slope; sums are old, others move too
  private static final int SURE_READINGS =
      20; // turns; the first reports show less load than there is
  private static final double FILL_MOST =
      1.2; // share; fuller is lost alike, and prices stay in bounds
  private static final double FAIL_PRICE =
      1.5; // ops; a failed try loses its op and the time it took
  // What is heard.
  private static final long HALF_LIFE = 20_000; // 0.1 ms; trouble shows in seconds, noise is halved
  private static final long FADE_AFTER = 40_000; // 0.1 ms without a line; sums may come so late
  private static final double USUAL_FILL =
      0.6; // share; an ordinary day's, until tasks tell their load
  private static final double BUSY_LEAST = 0.15; // share; under it a report's noise rules the cost
  private static final double UNIT_STEP =
      0.03; // share; the fleet's mean cost is steady, its loads are not
  private static final double CALM = 0.15; // share of tries in vain; some answers are always late
  private static final double LINES_KEEP = 0.8; // share; some lines' mean, as they come in seconds
  private static final double DEAD = 0.8; // bad share of tries; more than tasks in a jam show
  private static final double DOUBT = 2; // tries; fewer say nothing of a bad share
  // Levels and cold tasks.
  private static final double ADMIT_FILL =
      0.9; // share of capacity; above it queues outgrow the targets
  private static final double JAM = 0.2; // bad or late share of tries; well above what calm allows
  private static final double SPREAD = 0.5; // share of capacity; trouble at more of it is a jam's
  private static final double CALM_SPREAD =
      0.25; // share of capacity; trouble at less of it is some tasks'
  private static final double TRUST_CUT = 0.7; // times; a jam clears within a few cuts
  private static final double TRUST_LEAST = 0.4; // times the capacity read; symptoms cut no deeper
  private static final double TRUST_DOUBT =
      0.5; // times; a first cut, the most while tasks report time
  private static final double TRUST_CALM = 0.7; // times; in calm so much comes in again at once
  private static final double TRUST_MOST = 2; // times; costs may be read so much too high
  private static final double TRUST_STEP =
      0.04; // share a second; a step shows before the third follows
  private static final long CUT_WAIT = 20_000; // 0.1 ms; a cut shows in the sums by then
  private static final double PRESSED = 0.8; // share of capacity; less, in calm, rejects nothing
  private static final double TYPE_FLOOR =
      3; // times the worst op type's weight; at a third all fall alike
  private static final double ALL_OPS =
      1e6; // ops a second; where levels are rates, all that may come
  private static final double LEVEL_LEAST = 0.05; // share; some ops must show whether tasks work
  private static final long LEFT_COUNTS =
      80_000; // 0.1 ms; a list tells by then which tasks died too
  private static final double LEVEL_STEP =
      0.05; // share; less is not worth a message to every proxy
  private static final double SHUN =
      15; // s; three times what a proxy keeps away: bad tries come in rows
  private static final double COLD_MOST =
      0.5; // share of the fall limit; the rest is for chance and noise
  private static final double COLD_WORST =
      1.6; // times the fall limit; less keeps out what a deploy needs
  private static final double COLD_SURGE =
      0.8; // times the fall limit while ops jump; repeats come on top
  private static final double SURGE =
      1.15; // times the mean of ops; less of it is what every second shows
  private static final double SHUN_UNSEEN =
      12; // s; sums are a third as late, and repeats triple the tries
  private static final double SHUN_BAD =
      0.8; // share of tries; bad ones come in rows in a jam still untold
  // Proposals of weights.
  private static final double PROPOSAL_HALF =
      30_000; // 0.1 ms; as old as sums are by then, half is heeded
  private static final double FORCE_LEAST = 0.1; // share; what is older says nothing
  // Start, list, channel.
  private static final int SETTLE_TURNS =
      3; // turns; some rounds of sums before old tables are touched
  private static final long JOIN_SHOWS =
      10_000; // 0.1 ms; half a period and the sums' usual lateness
  private static final long OLD_TABLES = 17_000; // 0.1 ms; most graces hold it and a message
  private static final long FORGET =
      6_000_000; // 0.1 ms; ten minutes, longer than any table stays unmended
  private static final long FOLLOW_RETRY = 5_000; // 0.1 ms; first wait to ask again, doubled thrice
  private static final long FOLLOW_LOST =
      90_000; // 0.1 ms; an answer, good or bad, comes well before
  private static final double CHANNEL_SLOW = 5; // times; the slowest channel known, and some
  private static final double ROUTINE_LINES = 0.3; // share of the backlog; the rest is for drains
  private static final double FIRST_LINES =
      0.35; // share of the backlog; first tables and levels can wait
  private static final double CROWD_LINES =
      0.6; // share of the backlog; warnings, or first tables instead
  private static final double URGENT_LINES =
      0.85; // share of the backlog; the rest is the count's error
  private static final double ROUTINE_MESSAGES =
      0.33; // share of a proxy's messages; for levels twice
  private static final long BUNCH_WAIT =
      6_000; // 0.1 ms; well under any grace, over half the even gap
  private static final int SPARE_MESSAGES = 2; // messages; for the warnings of unknown tables
  private static final int MARKS = 4_000; // numbers; an hour's replies, and no more are remembered
  private static final long NEVER = Long.MIN_VALUE / 2; // 0.1 ms; before any clock
  private static final TimerToken TICK = new TimerToken(1),
      WAKE = new TimerToken(2); // the two timers

  // ---- Parts and notes: parts talk only through inboxes that one loop empties.

  private interface Note {}

  private record Entry(EndpointRecord listing) implements Note {}

  private record Told(Event event) implements Note {}

  private record Leaving(int task) implements Note {}

  private record Entering(int task) implements Note {}

  private record Reply(double start, double lines, int messages) {}

  private record Heard(long tries, double vain) implements Note {}

  private abstract class Part {
    private final ArrayDeque<Note> inbox = new ArrayDeque<>();

    abstract void on(Note note);
  }

  private final ArrayDeque<Part> waiting = new ArrayDeque<>();

  private void post(Part part, Note note) {
    part.inbox.add(note);
    waiting.add(part);
  }

  private void emptyInboxes() {
    for (Part part = waiting.poll(); part != null; part = waiting.poll())
      part.on(part.inbox.poll());
  }

  // ---- The instance.

  private final Settings set;
  private final long seed;
  private final double target;
  private long draws, now;
  private boolean look; // something came that is not looked at in turns alone
  private final Roster roster = new Roster();
  private final Planner planner = new Planner();
  private final Channel channel = new Channel();
  private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();

  // Figures about tasks: parallel arrays under a task's index; a first index of two is the zone's.
  private int tasks;
  private final ArrayDeque<Integer> free = new ArrayDeque<>(); // indices of those long gone
  private final Map<EndpointId, Task> taskById = new HashMap<>();
  private Task[] task = new Task[0];
  private int[] zone = new int[0];
  private EndpointRecord.State[] state = new EndpointRecord.State[0];
  private long[] started = new long[0], entered = new long[0], left = new long[0];
  private boolean[] out = new boolean[0], dropped = new boolean[0];
  private double[] listed = new double[0], rate = new double[0], busy = new double[0];
  private double[] told = new double[0], latency = new double[0];
  private final double[][] bad, tries, zoneRate;
  private final long[][] lastLine;

  public AssignmentEngine(Settings settings, long seed, long now) {
    this.set = settings;
    this.seed = seed;
    this.target =
        settings.requestClasses().stream()
            .mapToLong(RequestClass::latencyObjective)
            .average()
            .orElse(1);
    this.now = now;
    this.bad = new double[settings.fleet().zones()][0];
    this.tries = new double[settings.fleet().zones()][0];
    this.zoneRate = new double[settings.fleet().zones()][0];
    this.lastLine = new long[settings.fleet().zones()][0];
  }

  @Override
  public void handle(long at, Event event) {
    now = at;
    Part part = roster;
    // What tables from before a start name and the list has no more was gone before: named by sums
    // alone.
    if (event instanceof Event.EndpointOutcomes e)
      part =
          set.endpointList().removedEndpointsKeepServing()
              ? taskById.get(e.endpoint())
              : taskById.computeIfAbsent(e.endpoint(), Task::new);
    if (event instanceof Event.ProxyConnected e)
      proxies.computeIfAbsent(e.proxy().number(), Proxy::new);
    if (event instanceof Event.ProxyEvent e) part = proxies.get(e.proxy().number());
    look |=
        !(event instanceof Event.EndpointOutcomes || event instanceof Event.ProxyEvent)
            || event instanceof Event.ProxyConnected;
    if (part != null) post(part, new Told(event));
    emptyInboxes();
  }

  @Override
  public List<Command> endBatch(long at) {
    now = at;
    emptyInboxes();
    planner.plan();
    return channel.flush();
  }

  /** Chance: a number from 0 to 1, the same for the same seed and count of draws. */
  private double chance() {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).flip());
    return crc.getValue() / 4294967296.0;
  }

  private boolean live(int i) {
    return state[i] == EndpointRecord.State.READY;
  }

  private double warmth(int i) {
    return set.slowStart().warmUpFraction(started[i], now);
  }

  /**
   * Share of good answers after the target latency, by their mean time and the usual spread of
   * times.
   */
  private double late(double latency) {
    return latency > 0 ? Math.exp(-target / latency) : 0;
  }

  private static double smooth(double old, double seen, double keep) {
    return Double.isNaN(seen) ? old : Double.isNaN(old) ? seen : old * keep + (1 - keep) * seen;
  }

  private static double over(double[][] zones, int i) {
    return Arrays.stream(zones).mapToDouble(of -> of[i]).sum();
  }

  private double good(int i) {
    return 1 - over(bad, i) / (over(tries, i) + DOUBT);
  }

  /** The sum of a figure over the listed, ready tasks. */
  private double sum(IntToDoubleFunction figure) {
    double sum = 0;
    for (int i = 0; i < tasks; i++) sum += live(i) ? figure.applyAsDouble(i) : 0;
    return sum;
  }

  private void grow(int size) {
    task = Arrays.copyOf(task, size);
    zone = Arrays.copyOf(zone, size);
    state = Arrays.copyOf(state, size);
    started = Arrays.copyOf(started, size);
    entered = Arrays.copyOf(entered, size);
    left = Arrays.copyOf(left, size);
    out = Arrays.copyOf(out, size);
    dropped = Arrays.copyOf(dropped, size);
    listed = Arrays.copyOf(listed, size);
    rate = Arrays.copyOf(rate, size);
    busy = Arrays.copyOf(busy, size);
    told = Arrays.copyOf(told, size);
    latency = Arrays.copyOf(latency, size);
    for (double[][] a : List.of(bad, tries, zoneRate))
      Arrays.setAll(a, z -> Arrays.copyOf(a[z], size));
    Arrays.setAll(lastLine, z -> Arrays.copyOf(lastLine[z], size));
  }

  // ---- A task.

  private final class Task extends Part {
    private final EndpointId id;
    private final int index;

    Task(EndpointId id) {
      this.id = id;
      this.index = free.isEmpty() ? tasks++ : free.poll();
      if (index == task.length) grow(Math.max(32, 2 * index));
      task[index] = this;
      state[index] = EndpointRecord.State.REMOVED;
      out[index] = false;
      started[index] = entered[index] = 0;
      left[index] = now;
      forget();
      post(planner, new Leaving(index)); // until a list has it; no table of ours names it
    }

    private void forget() {
      busy[index] = told[index] = latency[index] = Double.NaN;
      rate[index] = 0;
      for (double[][] of : List.of(bad, tries, zoneRate))
        for (double[] inZone : of) inZone[index] = 0;
      for (long[] inZone : lastLine) inZone[index] = 0;
    }

    @Override
    void on(Note note) {
      if (note instanceof Entry e) entry(e.listing());
      if (note instanceof Told t && t.event() instanceof Event.EndpointOutcomes sums) sums(sums);
    }

    private void leave(EndpointRecord.State how) {
      state[index] = how;
      left[index] = now;
      dropped[index] = false;
      post(planner, new Leaving(index));
    }

    private void entry(EndpointRecord l) {
      zone[index] = l.zone().index();
      listed[index] = l.weight() > 0 ? l.weight() : 1;
      // A list may call running tasks gone: where that doesn't bind, one stays until tries fail
      // too.
      // Holds against any wrong or late list; hurts for the tries that show a true loss.
      dropped[index] =
          set.endpointList().removedEndpointsKeepServing()
              && l.state() == EndpointRecord.State.REMOVED
              && live(index);
      if (l.state() != EndpointRecord.State.READY) {
        if (!dropped[index]) leave(l.state());
        return;
      }
      boolean again = l.startedAt() > started[index];
      if (again || !live(index)) post(planner, new Entering(index));
      state[index] = EndpointRecord.State.READY;
      if (again) forget(); // a task that started again is cold though tables still name it
      started[index] = Math.max(started[index], l.startedAt());
    }

    private void sums(Event.EndpointOutcomes e) {
      double span = Math.max(1, e.interval());
      double keep = Math.pow(0.5, span / HALF_LIFE);
      int z = e.proxyZone().index();
      double seen = e.attempts() * DeciMillis.SECOND / span;
      bad[z][index] = bad[z][index] * keep + e.failures();
      tries[z][index] = tries[z][index] * keep + e.attempts();
      double old = lastLine[z][index] == 0 ? Double.NaN : zoneRate[z][index];
      zoneRate[z][index] = smooth(old, seen, keep);
      lastLine[z][index] = now;
      if (dropped[index] && 1 - good(index) > DEAD) leave(EndpointRecord.State.REMOVED);
      LoadReport r = e.report();
      busy[index] = smooth(busy[index], r.utilization(), keep * keep); // a mean already, and older
      told[index] = smooth(told[index], r.requestsPerSecond(), keep);
      if (e.successLatency() > 0) latency[index] = smooth(latency[index], e.successLatency(), keep);
      post(
          planner,
          new Heard(
              e.attempts(),
              e.failures() + (e.attempts() - e.failures()) * late(e.successLatency())));
    }
  }

  // ---- The list.

  private final class Roster extends Part {
    private long nextFollow = NEVER, followWait = FOLLOW_RETRY;
    private boolean following, ticking;

    @Override
    void on(Note note) {
      Event event = ((Told) note).event();
      if (event instanceof Event.EndpointListUpdate e) list(e);
      if (event instanceof Event.TimerFired e && e.token().equals(TICK)) ticking = false;
      if (!following && set.endpointList().watchRequired() && now >= nextFollow) {
        channel.other(new Command.WatchEndpoints(true));
        nextFollow = now + FOLLOW_LOST;
      }
      if (!ticking) {
        ticking = true;
        channel.other(new Command.StartTimer(set.reportInterval() / 2, TICK));
      }
    }

    private void list(Event.EndpointListUpdate e) {
      if (e.kind() == Event.ListUpdateKind.FETCH_FAILED) {
        following = false;
        nextFollow = now + followWait + (long) (followWait * chance());
        followWait = Math.min(8 * FOLLOW_RETRY, 2 * followWait);
        return;
      }
      following |= e.kind() != Event.ListUpdateKind.CACHED;
      if (following) followWait = FOLLOW_RETRY;
      boolean[] seen = new boolean[tasks + e.endpoints().size()];
      for (EndpointRecord l : e.endpoints()) {
        Task t = taskById.computeIfAbsent(l.endpoint(), Task::new);
        seen[t.index] = true;
        post(t, new Entry(l));
      }
      if (e.kind() != Event.ListUpdateKind.SNAPSHOT) return;
      for (int i = 0; i < tasks; i++) {
        if (seen[i] || state[i] == EndpointRecord.State.REMOVED) continue;
        EndpointRecord gone =
            new EndpointRecord(
                task[i].id, new ZoneId(zone[i]), listed[i], EndpointRecord.State.REMOVED, 0);
        post(task[i], new Entry(gone));
      }
    }
  }

  // ---- A proxy.

  private final class Proxy extends Part {
    private final ProxyId id;
    private int zoneIndex;
    private boolean joined, bound, fresh, warned;
    private long joinedAt, leftAt = NEVER;
    private double ops, arriving;
    private final double[] opsByType = new double[set.requestClasses().size()];
    private final double[] latest = new double[set.requestClasses().size()];
    private final double[] opsALine = new double[set.requestClasses().size()];
    private final List<Line> table = new ArrayList<>();
    private double potential, waiting, sentTo;
    private int waited;
    private boolean open;
    private final TreeMap<Integer, Integer> swap = new TreeMap<>();
    private final ArrayDeque<Long> messages = new ArrayDeque<>();
    private final TreeMap<Integer, Double> proposed = new TreeMap<>();
    private long proposedAt = NEVER;

    Proxy(int number) {
      this.id = new ProxyId(number);
      Arrays.fill(opsByType, Double.NaN);
      Arrays.fill(opsALine, Double.NaN);
    }

    /** Share by which a proposal is heeded; by and by the module's own weights come back. */
    double force() {
      double force = Math.pow(0.5, (now - proposedAt) / PROPOSAL_HALF);
      return force < FORCE_LEAST ? 0 : force;
    }

    boolean counts() {
      return joined || now - leftAt < LEFT_COUNTS;
    }

    double proposed(int i) {
      return proposed.getOrDefault(i, 0.0);
    }

    double typeOps(int k) {
      return Double.isNaN(opsByType[k]) ? 0 : opsByType[k];
    }

    /** The table's line for a task, named or aimed at; null if it has none. */
    Line find(int i) {
      return table.stream().filter(l -> l.task == i).findFirst().orElse(null);
    }

    boolean names(int i) {
      return table.stream().anyMatch(l -> l.task == i && l.has > 0);
    }

    /** Aims a line at a task. */
    Line add(int i, double goal) {
      Line line = find(i);
      if (line == null) table.add(line = new Line(i));
      line.goal = goal;
      return line;
    }

    /** Ops a second that the move to the goals brings a line's task; below 0 it takes them away. */
    double part(Line l) {
      return ops * (l.goal - l.has);
    }

    /** A table that names what left, or has no line: nothing waits for a turn then. */
    boolean broken() {
      return table.stream().noneMatch(l -> l.has > 0)
          || table.stream().anyMatch(l -> l.has > 0 && !live(l.task));
    }

    @Override
    void on(Note note) {
      Event event = ((Told) note).event();
      if (event instanceof Event.UpdateAcknowledged e) channel.answered(this, e.ack().number());
      if (event instanceof Event.ProxyConnected e) {
        zoneIndex = e.zone().index();
        joined = true;
        bound = false;
        fresh = e.withoutTables();
        warned = false;
        joinedAt = now;
        messages.clear();
        if (ops <= 0) ops = e.requestsPerSecond();
        arriving = ops;
      } else if (event instanceof Event.WeightsProposed e) {
        proposed.clear();
        proposedAt = now;
        for (Event.WeightsProposed.Share s : e.routes()) {
          Task t = taskById.get(s.endpoint());
          if (t != null && s.weight() > 0) proposed.put(t.index, s.weight());
        }
      } else if (event instanceof Event.ProxyDisconnected) {
        joined = bound = false;
        leftAt = now;
        channel.left(this);
        for (Freed f : planner.moving) f.answered |= f.proxy == this;
      } else if (event instanceof Event.ProxyRequestRate e) {
        int k = e.requestClass().index();
        double seen = e.requests() * (double) DeciMillis.SECOND / Math.max(1, e.interval());
        double keep = Math.pow(0.5, (double) e.interval() / HALF_LIFE);
        opsALine[k] = smooth(opsALine[k], e.requests(), LINES_KEEP);
        latest[k] = seen * held(opsALine[k]);
        opsByType[k] = smooth(opsByType[k], seen, keep);
        double sum = IntStream.range(0, opsByType.length).mapToDouble(this::typeOps).sum();
        boolean all = Arrays.stream(opsByType).noneMatch(Double::isNaN);
        ops = all ? sum : Math.max(ops, sum);
        arriving = all ? Arrays.stream(latest).sum() : ops;
      }
    }

    /**
     * A line tells of a period with ops, and its rate holds until the next: in the mean too high by
     * -log(share) / (1 - share), of periods with any. Small proxies seemed to bring half more. Half
     * is taken off, its root: in a jam what comes soon is above the mean; the whole let jams form.
     */
    private double held(double opsALine) {
      double mean = opsALine; // of a period, by what those with any have: a line has mean / share
      for (int i = 0; i < 20; i++) mean = opsALine * (1 - Math.exp(-mean));
      double share = Math.max(0.05, 1 - Math.exp(-mean));
      return share > 0.99 ? 1 : Math.sqrt((share - 1) / Math.log(share));
    }
  }

  /** One line of a table: the weight that it has and the one that it shall have. */
  private static final class Line {
    private final int task;
    private double has, goal, price, steep;

    Line(int task) {
      this.task = task;
    }
  }

  /** Load that a sent move shifts and that the sums don't show yet. */
  private static final class Freed {
    private Proxy proxy;
    private double start;
    private long at;
    private final Map<Integer, Double> parts = new TreeMap<>();
    private boolean answered;
  }

  // ---- The tables: targets, moves, rounds.

  private static boolean differs(double a, double b) {
    return Math.abs(a - b) > 0.005 + 0.05 * Math.max(a, b) || (a > 0) != (b > 0);
  }

  private final class Planner extends Part {
    private final List<Integer> entrants = new ArrayList<>();
    private final Set<Proxy> urgent = new LinkedHashSet<>();
    private final List<Freed> moving = new ArrayList<>();
    private boolean sumsCame, sumsShow, unwarned, crowded;
    private long lastTurn = NEVER, lastCut = NEVER, lastWarning = NEVER, wakeAt = NEVER, lateBy;
    private int turns, unitReadings;
    private double[] capacity = new double[0], planned = new double[0];
    private double part = 1, shownPart = Double.NaN, unit = Double.NaN;
    private double allListed, allCapacity, meanCapacity, meanFill;
    private double demand, came, level = 1, trust = 1, turnTries, turnVain;

    @Override
    void on(Note note) {
      unwarned |= note instanceof Leaving;
      if (note instanceof Entering e) entrants.add(e.task());
      if (!(note instanceof Heard h)) return;
      sumsCame = true;
      turnTries += h.tries();
      turnVain += h.vain();
    }

    /** Called once at the end of a moment. Slices' tables stand as stored. */
    void plan() {
      boolean turn = sumsCame && now - lastTurn >= set.reportInterval() * 9 / 10;
      if (!turn && !look) return;
      look = false;
      if (turn) {
        settleSums();
        // Sums that stay out come late from then on: what they tell may be over, a cut shows later.
        lateBy = turns == 0 ? 0 : Math.max(now - lastTurn - set.reportInterval(), lateBy * 9 / 10);
        lastTurn = now;
        turns++;
      }
      boolean anyOut = IntStream.range(0, tasks).anyMatch(i -> !live(i));
      boolean held = false;
      crowded = anyOut && !channel.roomForWarnings();
      for (Proxy p : proxies.values()) {
        // Tables from before a start are left alone until sums came, but what left may be all of
        // one,
        // or on its way out as the instance died: no list tells of it any more, and sums seldom do.
        boolean late =
            crowded
                || anyOut && now - p.joinedAt > set.routing().maxTimeWithoutEndpoint() / 2
                || turns > 0 && now - p.joinedAt > OLD_TABLES;
        boolean due =
            p.joined
                && !set.fleet().sharded()
                && (p.bound ? p.broken() : p.fresh || turns >= SETTLE_TURNS || late);
        if (due && channel.roomForUrgent(p)) urgent.add(p);
        held |= due && !urgent.contains(p);
        unwarned |= p.joined && !p.bound && !p.warned && !urgent.contains(p);
        p.warned |= !urgent.contains(p);
      }
      // Unknown tables may name what left, and withdrawals don't reach later joiners: all are told
      // again in bunches, since each joiner by itself once used up the messages of all proxies.
      unwarned &= anyOut && !crowded;
      if (unwarned && now - lastWarning >= BUNCH_WAIT) {
        for (int i = 0; i < tasks; i++) if (!live(i)) channel.withdraw(i, true);
        unwarned = false;
        lastWarning = now;
      }
      if ((held || unwarned) && now >= wakeAt) {
        wakeAt = now + BUNCH_WAIT;
        channel.other(new Command.StartTimer(BUNCH_WAIT, WAKE));
      }
      if (set.fleet().sharded() || urgent.isEmpty() && !turn) return;
      weighCapacity();
      levels(turn);
      if (turn) enter();
      if (turn) proxies.values().forEach(this::swapAsProposed);
      planned = new double[tasks];
      List<Proxy> known = new ArrayList<>();
      List<Proxy> anew = new ArrayList<>();
      for (Proxy p : proxies.values()) {
        if (!p.joined || !p.bound && !urgent.contains(p)) continue;
        known.add(p);
        lineUp(p);
        if (turn || !p.bound) anew.add(p);
        for (Line l : p.table) planned[l.task] += p.ops * l.goal;
      }
      weigh(
          known, anew); // a mend between turns is what left and what takes its place: sums are old
      anew.forEach(this::weighAsProposed);
      capCold(known);
      urgent.stream()
          .sorted(Comparator.comparing(p -> !p.bound))
          .filter(channel::roomForUrgent)
          .forEach(p -> send(p, 1, planned));
      if (turn) rounds(known);
      urgent.clear();
    }

    /** Sums up a turn's rates; a line counts over its own span, so what sent none only fades. */
    private void settleSums() {
      double keep = Math.pow(0.5, (double) set.reportInterval() / HALF_LIFE);
      // Who joins shows in the sums late, and by and by: taken whole at once, a fleet that came
      // over in
      // a second made tasks seem slow by as much, and levels were cut for it.
      Predicate<Proxy> shows = p -> p.joined && now - p.joinedAt > JOIN_SHOWS;
      sumsShow |= proxies.values().stream().anyMatch(shows);
      if (sumsShow) shownPart = smooth(shownPart, part(shows), keep);
      for (int i = 0; i < tasks; i++) {
        rate[i] = 0;
        int gone = i; // tasks come under new ids for ever: what no table names is forgotten at last
        if (task[i] != null
            && state[i] == EndpointRecord.State.REMOVED
            && now - left[i] > FORGET
            && proxies.values().stream().allMatch(p -> p.find(gone) == null)) {
          taskById.remove(task[i].id);
          task[i] = null;
          free.add(i);
        }
        for (int z = 0; z < bad.length; z++) {
          boolean fades = now - lastLine[z][i] > FADE_AFTER + set.reportInterval();
          if (fades) for (double[][] of : List.of(bad, tries, zoneRate)) of[z][i] *= keep;
          rate[i] += zoneRate[z][i];
        }
      }
      double weight = sum(i -> readable(i) ? busy[i] * listed[i] : 0);
      double step = weight > 0 ? Math.max(UNIT_STEP, 2.0 / (1 + ++unitReadings)) : 0;
      if (step > 0) unit = smooth(unit, sum(i -> readable(i) ? reached(i) : 0) / weight, 1 - step);
      sumsCame = false;
    }

    /**
     * Warm, busy and calm: in a jam tries are refused or in vain, and the slow may report too
     * little.
     */
    private boolean readable(int i) {
      return busy[i] > BUSY_LEAST && reached(i) > 1 && warmth(i) >= 1 && troubled(i) < CALM;
    }

    private double shownPart() {
      return Double.isNaN(shownPart) ? part : shownPart;
    }

    /**
     * Ops a second that reach a task: told by it, or by our part of the traffic, right in the mean.
     */
    private double reached(int i) {
      return Double.isNaN(told[i]) ? rate[i] / shownPart() : Math.max(told[i], rate[i]);
    }

    /** All that reaches a task: what its busy share stands for, and no less than ours. */
    private double total(int i) {
      return busy[i] >= 0 && unit > 0 ? Math.max(rate[i], busy[i] * capacity[i]) : reached(i);
    }

    /** The part of the fleet's proxies that are ours, which is taken for that of the traffic. */
    private double part(Predicate<Proxy> ours) {
      double some = proxies.values().stream().filter(ours).count();
      return set.fleet().instances() == 1
          ? 1
          : Math.max(0.01, Math.min(1, some / set.fleet().proxies()));
    }

    /** Capacity of each task, ops a second: from the cost of its ops, else by listed weight. */
    private void weighCapacity() {
      capacity = new double[tasks];
      // Of all proxies the last report is steady enough, and it shows a surge seconds sooner.
      demand = proxies.values().stream().mapToDouble(p -> p.joined ? p.arriving : 0).sum();
      part = part(p -> p.joined);
      // Who left counts for a while: a lost zone's proxies are gone at once, its tasks are told
      // late,
      // and what stayed once looked like time for all; and their ops may come to the others.
      came = proxies.values().stream().mapToDouble(p -> p.counts() ? p.arriving : 0).sum();
      allListed = sum(i -> listed[i]);
      // Started in a jam: what clients ask again and again is no measure of what tasks do. The
      // first
      // sums hold little of what those that join bring: once all was cut to a tenth for it.
      double acked = sum(i -> rate[i] * good(i));
      double shown =
          acked <= 0
              ? demand / part
              : !sumsShow
                  ? demand / part * acked / sum(i -> rate[i])
                  : Math.min(demand / part, acked / shownPart());
      for (int i = 0; i < tasks; i++) {
        double full =
            unit > 0 ? unit * listed[i] : listed[i] / allListed * Math.max(1, shown) / USUAL_FILL;
        capacity[i] = live(i) ? full * warmth(i) : 0;
      }
      allCapacity = sum(i -> capacity[i]);
      meanCapacity = allCapacity / Math.max(1, sum(i -> 1));
      meanFill = sum(this::total) / allCapacity;
    }

    /**
     * A cold task falls over when too much is tried there, and a proxy that shuns its failing lines
     * sends their part to the others: named only where that stays small for all, small ones first.
     * Also where it could come to shun before sums tell: holds against any surge, repeats or lost
     * zone that they show late; hurts where large proxies need what warms: entrants wait for small
     * ones.
     */
    private void capCold(List<Proxy> known) {
      List<Proxy> smallFirst = new ArrayList<>(known);
      // Who names one already comes first: lines once went to and fro between proxies at each turn.
      smallFirst.sort(
          Comparator.<Proxy, Boolean>comparing(
                  p -> p.table.stream().noneMatch(l -> l.has > 0 && warmth(l.task) < 1))
              .thenComparingDouble(p -> p.ops));
      double[] room = new double[tasks], worstRoom = new double[tasks];
      double letIn = set.admissionLimitKind() == AdmissionLimitKind.FRACTION ? level : 1;
      double most = set.slowStart().overloadMultiple() * part;
      double mean = proxies.values().stream().mapToDouble(p -> p.joined ? p.ops : 0).sum();
      double worst = came > SURGE * mean ? COLD_SURGE : COLD_WORST;
      for (int i = 0; i < tasks; i++) {
        room[i] = COLD_MOST * most * capacity[i];
        worstRoom[i] = worst * most * capacity[i];
      }
      for (Proxy p : smallFirst) {
        for (boolean over = true; over; ) {
          over = false;
          for (Line l : p.table) {
            if (l.goal <= 0 || warmth(l.task) >= 1) continue;
            boolean fits = brings(p, l, letIn, true) <= worstRoom[l.task];
            if (fits && brings(p, l, letIn, false) <= room[l.task]) continue;
            over = true;
            l.goal = 0;
            if (l.has > 0) urgent.add(p);
          }
        }
        for (Line l : p.table) {
          if (l.goal <= 0 || warmth(l.task) >= 1) continue;
          room[l.task] -= brings(p, l, letIn, false);
          worstRoom[l.task] -= brings(p, l, letIn, true);
        }
      }
    }

    /**
     * Ops that a proxy may bring to a line: by the table aimed at, and by the one that it holds.
     * The two part when what left goes at once while new lines wait for room: once the four other
     * lines that stood were all shunned, and all ops went to a cold one of 1%.
     */
    private double brings(Proxy p, Line l, double letIn, boolean worst) {
      double byGoal = l.goal / open(p, l, o -> o.goal, letIn, worst);
      return letIn * p.ops * Math.max(byGoal, l.has / open(p, l, o -> o.has, letIn, worst));
    }

    /**
     * Weight that a proxy may come to spread its ops over, a line's own counted whole. At worst
     * each has an equal share of the tries: what large ones that are shunned had goes to the small
     * ones.
     */
    private double open(
        Proxy p, Line l, ToDoubleFunction<Line> weight, double letIn, boolean worst) {
      double all = 0;
      for (Line o : p.table) {
        double w = weight.applyAsDouble(o);
        all += worst ? Math.signum(w) : w;
      }
      double open = weight.applyAsDouble(l);
      for (Line o : p.table) {
        double w = weight.applyAsDouble(o);
        if (o != l && w > 0) open += w * (1 - shunned(p, o, letIn * (worst ? 1 : w) / all, worst));
      }
      return Math.max(1e-9, open);
    }

    /**
     * Share of the time in which a proxy may keep away from a line, after a row of its own bad
     * tries: as sums tell of them, or at worst, before they tell, by the tries until a row (Feller,
     * XIII.7).
     */
    private double shunned(Proxy p, Line l, double share, boolean worst) {
      if (set.routing().ejectAfterConsecutiveFailures() == 0 || !worst && warmth(l.task) < 1)
        return 0;
      double bad = badShare(p.zoneIndex, l.task);
      if (worst) bad = Math.min(0.99, Math.max(SHUN_BAD, bad)); // known to be worse than a jam's
      double row = Math.pow(bad, set.routing().ejectAfterConsecutiveFailures());
      double rows = worst ? SHUN_UNSEEN * row * (1 - bad) / (1 - row) : SHUN * row;
      return Math.min(1, p.ops * share * rows);
    }

    /**
     * What the tasks listed can't carry is rejected at once, also when the list says so before sums
     * do. A jam's work is in vain, it tells nothing of capacity: trust is cut until it clears.
     */
    private void levels(boolean turn) {
      if (came <= 0) return;
      // Who fails more than the rest counts less: the silent carry nothing.
      double meanGood = sum(i -> capacity[i] * good(i)) / Math.max(1e-9, allCapacity);
      double able =
          part(Proxy::counts)
              / came
              * sum(i -> capacity[i] * Math.min(1, good(i) / (meanGood + 1e-9)));
      double reported = sum(i -> busy[i] >= 0 ? capacity[i] : 0);
      double fill =
          reported > 0 ? sum(i -> busy[i] >= 0 ? capacity[i] * busy[i] : 0) / reported : 0;
      double spread = sum(i -> troubled(i) > CALM ? capacity[i] : 0) / Math.max(1e-9, allCapacity);
      double trouble = turnVain / Math.max(DOUBT, turnTries);
      double step = TRUST_STEP * set.reportInterval() / DeciMillis.SECOND;
      if (turn && trouble > JAM && spread > SPREAD && now - lastCut > CUT_WAIT + lateBy) {
        if (trust == 1) channel.other(new Command.Log("Busy tasks fail ops: levels are cut."));
        double doubt = lateBy > set.reportInterval() ? TRUST_CALM : TRUST_DOUBT;
        double least = fill > PRESSED ? TRUST_LEAST : Math.min(trust, doubt);
        trust = Math.max(least, trust * (level == 1 ? TRUST_DOUBT : TRUST_CUT));
        lastCut = now;
      } else if (turn && (trouble < CALM || spread < CALM_SPREAD) && fill < ADMIT_FILL) {
        trust = Math.min(level < 1 ? TRUST_MOST : 1, Math.max(TRUST_CALM, trust * (1 + step)));
      } else if (turn && fill > ADMIT_FILL) {
        trust = Math.max(Math.min(1, trust), trust * (1 - step));
      }
      boolean pressed =
          level < 1 || able < 1 || fill > PRESSED || trouble > CALM && spread > SPREAD;
      double want = Math.max(LEVEL_LEAST, Math.min(1, pressed ? ADMIT_FILL * able * trust : 1));
      if (turn) turnTries = turnVain = 0;
      boolean change = want == 1 ? level < 1 : Math.abs(want - level) > LEVEL_STEP * level;
      if (change && channel.roomForLevels()) {
        if (want == 1) channel.other(new Command.Log("Tasks have time: all ops are let in again."));
        level = want;
        channel.admit(level, levelsByType());
      }
    }

    /**
     * What is let in, by op type: most benefit for its work first. Work is told nowhere and goes by
     * the target latency. None falls under a part of the level, larger as the worst type weighs
     * more.
     */
    private double[] levelsByType() {
      List<RequestClass> type = set.requestClasses();
      double[] ops = new double[type.size()];
      for (Proxy p : proxies.values()) {
        for (int k = 0; p.joined && k < ops.length; k++) ops[k] += p.typeOps(k);
      }
      double least = level * Math.min(1, TYPE_FLOOR * set.routing().worstClassWeight());
      double rest = (level - least) * Arrays.stream(ops).sum();
      double[] levels = new double[ops.length];
      Arrays.fill(levels, level);
      List<Integer> best = new ArrayList<>(IntStream.range(0, ops.length).boxed().toList());
      best.sort(
          Comparator.comparingDouble(
              k -> -type.get(k).priorityWeight() / type.get(k).latencyObjective()));
      for (int k : best) {
        double more = Math.max(0, Math.min(rest, (1 - least) * ops[k]));
        if (level < 1 && ops[k] > 0) levels[k] = least + more / ops[k];
        rest -= more;
      }
      return levels;
    }

    private double troubled(int i) {
      return 1 - good(i) * (1 - late(latency[i]));
    }

    private double badShare(int z, int i) {
      return bad[z][i] / (tries[z][i] + DOUBT);
    }

    /** The table that a proxy keeps: its lines, with what left swapped for live tasks. */
    private void lineUp(Proxy p) {
      p.table.removeIf(l -> l.has <= 0);
      for (Line l : p.table) l.goal = live(l.task) ? l.has : 0;
      double sum = p.table.stream().mapToDouble(l -> l.goal).sum();
      int count = (int) p.table.stream().filter(l -> l.goal > 0).count();
      p.swap
          .entrySet()
          .removeIf(e -> !live(e.getValue()) || !live(e.getKey()) || !p.names(e.getKey()));
      for (Map.Entry<Integer, Integer> e : p.swap.entrySet()) {
        // A cold task takes the line over as it warms: until then both stand.
        Line from = p.find(e.getKey());
        int to = e.getValue();
        double most = from.goal * Math.min(1, capacity[to] / Math.max(1e-9, capacity[from.task]));
        Line line = p.add(to, Math.max(most, p.names(to) ? p.find(to).goal : LINE_LEAST));
        if (warmth(to) >= 1) {
          line.goal = Math.max(line.goal, from.goal);
          from.goal = 0;
        }
      }
      // A table too small for its proxy's ops grows: a few tasks can't carry what a large proxy
      // brings.
      int wantedLines =
          Math.max(
              Math.max(LINES_LEAST, set.routing().bootstrapRouteCount()),
              (int) Math.ceil(p.ops / (TABLE_FILL * meanCapacity)));
      if (p.table.stream().noneMatch(l -> l.goal > 0 && warmth(l.task) >= 1)) {
        // A table of cold tasks alone would push them over, or be empty where their lines are
        // capped.
        int i = draw(p, 1);
        if (i >= 0) p.add(i, count++ == 0 ? capacity[i] : 1);
      }
      for (; count < wantedLines; count++) {
        int i = draw(p, turns < SETTLE_TURNS ? 1 : 0); // what a cold task can bear is not known yet
        if (i < 0 && count == 0) i = draw(p, 0);
        if (i < 0) break;
        double each = warmth(i) * (1 - sum) / Math.max(1, wantedLines - count);
        p.add(
            i,
            sum > 0
                ? Math.max(LINE_LEAST, each)
                : capacity[i] * (zone[i] == p.zoneIndex ? 1 : AWAY_START));
      }
      normalise(p);
    }

    /**
     * A warm enough task not named yet, drawn by listed weight, warmth, room and zone; -1 if none.
     */
    private int draw(Proxy p, double warmEnough) {
      double[] weight = new double[tasks];
      double all = 0;
      for (int i = 0; i < tasks; i++) {
        // What is withdrawn from unknown tables and cold comes in as an entrant, once all are
        // known.
        if (!live(i) || warmth(i) < (out[i] ? 1 : warmEnough)) continue;
        double free = 1 - planned[i] / (capacity[i] * part);
        weight[i] =
            listed[i]
                * warmth(i)
                * (dropped[i] ? ROOM_LEAST : Math.max(ROOM_LEAST, free))
                * (zone[i] == p.zoneIndex ? HOME_PULL : 1)
                * (1.02 - badShare(p.zoneIndex, i));
        all += weight[i];
      }
      for (Line l : p.table) {
        if (l.goal > 0) all -= weight[l.task];
        if (l.goal > 0) weight[l.task] = 0;
      }
      double at = chance() * all;
      for (int i = 0; i < tasks; i++) if (weight[i] > 0 && (at -= weight[i]) < 0) return i;
      return -1;
    }

    /** New and returned tasks take the most loaded line of a weight-drawn share of tables. */
    private void enter() {
      // A table not known yet may name what returned cold: that stays withdrawn until it is.
      if (proxies.values().stream().anyMatch(p -> p.joined && !p.bound)) return;
      enterIdle();
      for (int e : entrants) {
        if (!live(e)) continue;
        channel.withdraw(e, false);
        entered[e] = now;
        for (Proxy p : proxies.values()) {
          if (!p.joined || !p.bound || p.names(e)) continue;
          int count = 0;
          int most = -1;
          for (Line l : p.table) {
            int i = l.task;
            if (!live(i) || l.has <= 0) continue;
            count++;
            if (!p.swap.containsKey(i) && (most < 0 || fill(i) > fill(most))) most = i;
          }
          double home = zone[e] == p.zoneIndex ? HOME_ENTRY : 1 / HOME_ENTRY;
          if (most >= 0 && chance() < home * count * listed[e] / allListed) p.swap.put(most, e);
        }
      }
      entrants.clear();
    }

    /** A task that chance left out of most tables enters as a returned one does. */
    private void enterIdle() {
      IntStream.range(0, tasks)
          .filter(
              i ->
                  live(i)
                      && warmth(i) >= 1
                      && now - entered[i] > ENTER_AGAIN
                      && 1 - good(i) < CALM
                      && fill(i) < IDLE_FILL * meanFill)
          .boxed()
          .min(Comparator.comparingDouble(this::fill))
          .filter(i -> !entrants.contains(i))
          .ifPresent(entrants::add);
    }

    private double fill(int i) {
      return total(i) / Math.max(1e-9, capacity[i]);
    }

    /**
     * Weights of the lines: ops flow to where the next one loses least, crossing zones at its
     * price.
     */
    private void weigh(List<Proxy> known, List<Proxy> anew) {
      double[] load = new double[tasks];
      for (int i = 0; i < tasks; i++) load[i] = Math.max(0, total(i) - rate[i]);
      for (Proxy p : known) for (Line l : p.table) load[l.task] += p.ops * l.goal;
      // Quick in a calm that is known; before that, and near full, all would run for the same room.
      double calm =
          unitReadings < SURE_READINGS ? 1 : Math.min(1, Math.pow(meanFill / USUAL_FILL, 4));
      for (int round = 0; round < WEIGHING_ROUNDS && !anew.isEmpty(); round++) {
        for (Proxy p : anew) {
          double mean = 0;
          for (Line l : p.table) {
            double loss = lossPrice(load[l.task], l.task);
            l.steep = Math.max(1, Math.max(STEEP_LEAST * calm, LOSS_POWER * loss));
            l.price =
                loss
                    + FAIL_PRICE * badShare(p.zoneIndex, l.task)
                    + late(latency[l.task])
                    + (zone[l.task] == p.zoneIndex ? 0 : set.routing().crossZonePenalty());
            mean += l.goal * l.price;
            load[l.task] -= p.ops * l.goal;
          }
          for (Line l : p.table) {
            double by = Math.exp((mean - l.price) / 2 / l.steep);
            if (l.goal > 0) l.goal = Math.max(LINE_LEAST, l.goal * by);
          }
          normalise(p);
          for (Line l : p.table) load[l.task] += p.ops * l.goal;
        }
      }
    }

    /**
     * A line that no proposal wants is swapped for the task it wants most: one a turn, as lines
     * cost.
     */
    private void swapAsProposed(Proxy p) {
      if (!p.joined || !p.bound || p.force() == 0) return;
      p.proposed.entrySet().stream()
          .filter(e -> heeded(p, e.getKey()) && !p.names(e.getKey()))
          .filter(e -> !p.swap.containsValue(e.getKey()))
          .max(Map.Entry.comparingByValue())
          .ifPresent(
              e ->
                  p.table.stream()
                      .filter(l -> l.has > 0 && p.proposed(l.task) <= 0)
                      .filter(l -> !p.swap.containsKey(l.task))
                      .min(Comparator.comparingDouble(l -> l.has))
                      .ifPresent(l -> p.swap.put(l.task, e.getKey())));
    }

    /**
     * Only for tasks that are warm and answer: what is cold or fails goes by what is known here.
     */
    private boolean heeded(Proxy p, int i) {
      return live(i) && !out[i] && warmth(i) >= 1 && badShare(p.zoneIndex, i) < CALM;
    }

    /**
     * Weights go towards a proposal by its force; moves, rounds and guards treat them as their own.
     */
    private void weighAsProposed(Proxy p) {
      double force = p.force();
      List<Line> lines = p.table.stream().filter(l -> l.goal > 0 && heeded(p, l.task)).toList();
      double goals = lines.stream().mapToDouble(l -> l.goal).sum();
      double wanted = lines.stream().mapToDouble(l -> p.proposed(l.task)).sum();
      if (force == 0 || wanted <= 0) return;
      for (Line l : lines) {
        double goal = l.goal + force * (goals * p.proposed(l.task) / wanted - l.goal);
        l.goal = Math.max(LINE_LEAST, goal);
      }
      normalise(p);
    }

    /** Ops lost for one more op on a task: the slope of a power of its fill. */
    private double lossPrice(double load, int i) {
      double fill = capacity[i] > 0 ? Math.min(FILL_MOST, load / capacity[i]) : 0;
      return (LOSS_POWER + 1) * Math.pow(fill, LOSS_POWER) / 2;
    }

    /**
     * A round: moves by potential time, then traffic, each admitted only where its targets have
     * room.
     */
    private void rounds(List<Proxy> known) {
      moving.removeIf(f -> now - f.at > SHOWS_AFTER);
      double[] room = headroom();
      List<Proxy> moves = new ArrayList<>();
      Map<Integer, List<Proxy>> waiters = new HashMap<>();
      for (Proxy p : known) {
        if (urgent.contains(p)) continue; // sent already, or it found no room in the channel
        aimAtRoom(p, room);
        double change = p.table.stream().mapToDouble(l -> Math.abs(l.goal - l.has) / 2).sum();
        boolean entry = p.swap.values().stream().anyMatch(to -> !p.names(to) || warmth(to) >= 1);
        boolean big = p.table.stream().anyMatch(l -> -p.part(l) > PART_LEAST * capacity[l.task]);
        if (change < MOVE_LEAST && !big && !entry) continue;
        moves.add(p);
        for (Line l : p.table) {
          if (p.part(l) > 1e-6 && p.part(l) > room[l.task]) {
            waiters.computeIfAbsent(l.task, i -> new ArrayList<>()).add(p);
          }
        }
      }
      for (Proxy m : moves) m.potential = -1;
      for (Proxy m : moves) potential(m, waiters);
      moves.sort(
          Comparator.<Proxy>comparingDouble(m -> -m.potential)
              .thenComparingDouble(m -> -m.ops)
              .thenComparingInt(m -> m.id.number()));
      boolean admitted = false;
      for (Proxy m : moves) {
        // A move off a full task that small ones always forestall goes with the part that fits.
        double ratio = yieldRatio(m, room);
        boolean starved =
            ratio < 1
                && m.waited * set.reportInterval() >= SHOWS_AFTER
                && m.table.stream().anyMatch(l -> m.part(l) < 0 && room[l.task] < 0);
        if (channel.roomForRoutine(m) && (ratio <= 0 || starved)) {
          send(m, 1 - ratio, room);
          admitted = true;
        } else m.waited++;
      }
      if (admitted || moving.stream().anyMatch(f -> !f.answered && now - f.at < CREDIT_WAIT))
        return;
      // Deadlock: the move that yields least goes with the part that fits.
      moves.stream()
          .filter(m -> yieldRatio(m, room) < 1 && channel.roomForRoutine(m))
          .min(Comparator.comparingDouble(m -> yieldRatio(m, room)))
          .ifPresent(m -> send(m, 1 - yieldRatio(m, room), room));
    }

    /**
     * A full task keeps its line as it is, and the others give no more than what the rest can take.
     */
    private void aimAtRoom(Proxy p, double[] room) {
      double up = 0, down = 0;
      for (Line l : p.table) {
        if (l.goal > l.has && room[l.task] <= 0) l.goal = l.has;
        up += Math.max(0, l.goal - l.has);
        down += Math.max(0, l.has - l.goal);
      }
      for (Line l : p.table) {
        if (down > up && l.goal < l.has) l.goal = l.has + (l.goal - l.has) * up / down;
      }
    }

    private double[] headroom() {
      double[] room = new double[tasks];
      Arrays.setAll(room, i -> live(i) ? (capacity[i] * meanFill / FILL - total(i)) * part : 0);
      for (Proxy p : proxies.values()) {
        for (Line l : p.table)
          if (p.bound && rate[l.task] <= 0) room[l.task] -= p.ops * l.has * part;
      }
      for (Freed f : moving) {
        boolean credited = f.answered || now - f.at >= CREDIT_WAIT;
        f.parts.forEach((i, part) -> room[i] -= part > 0 || credited ? part : 0);
      }
      return room;
    }

    /**
     * The part of a move that its fullest task has no room for; above 0 it doesn't fit as a whole.
     */
    private double yieldRatio(Proxy m, double[] room) {
      double least = 1;
      for (Line l : m.table)
        if (m.part(l) > 1e-6) least = Math.min(least, room[l.task] / m.part(l));
      return 1 - least;
    }

    /**
     * A move's own time in the channel and the deepest of the moves that wait where it frees room.
     */
    private double potential(Proxy m, Map<Integer, List<Proxy>> waiters) {
      if (m.open) return CYCLE;
      if (m.potential >= 0) return m.potential;
      m.open = true;
      double deepest = 0;
      for (Line l : m.table) {
        if (m.part(l) >= -1e-6) continue;
        for (Proxy w : waiters.getOrDefault(l.task, List.of())) {
          deepest = Math.max(deepest, potential(w, waiters));
        }
      }
      m.open = false;
      double lines =
          set.channel().messageOverheadEntries()
              + m.table.stream().filter(l -> differs(l.goal, l.has)).count();
      m.potential =
          Math.min(CYCLE, lines * DeciMillis.SECOND / set.channel().entriesPerSecond() + deepest);
      return m.potential;
    }

    /** Orders a move, or the given share of it, and books the load that it shifts. */
    private void send(Proxy p, double share, double[] room) {
      Freed f = new Freed();
      for (Line l : p.table) {
        room[l.task] -= Math.max(0, p.part(l) * share);
        double want = live(l.task) ? l.has + share * (l.goal - l.has) : 0;
        want = Math.round(want * 1000) / 1000.0;
        if (!differs(want, l.has)) continue;
        channel.line(p, l.task, want);
        if (want > 0) channel.withdraw(l.task, false);
        f.parts.put(l.task, p.ops * (want - (p.bound ? l.has : 0)));
        l.has = want;
      }
      p.waited = 0;
      if (share >= 1) p.swap.values().removeIf(to -> warmth(to) >= 1);
      if (p.bound && f.parts.isEmpty()) return;
      if (!p.bound) channel.bind(p);
      p.bound = true;
      f.proxy = p;
      f.start = channel.sent;
      f.at = now;
      moving.add(f);
    }

    private void normalise(Proxy p) {
      double sum = 0;
      for (Line l : p.table) sum += l.goal;
      if (sum > 0) for (Line l : p.table) l.goal /= sum;
    }
  }

  // ---- The channel: what goes out, how much may wait, and what was answered.

  private final class Channel {
    private final List<Command> first = new ArrayList<>(), lines = new ArrayList<>();
    private final List<Command> binds = new ArrayList<>(), others = new ArrayList<>();
    private final TreeMap<Integer, Integer> touched = new TreeMap<>();
    private final Map<Integer, Reply> replies = new HashMap<>();
    private int mark;
    private double sent, passed, pending;
    private long emptyAt, lastAnswer = NEVER;

    void other(Command order) {
      others.add(order);
    }

    private void touch(Proxy p, int count) {
      Integer before = touched.put(p.id.number(), touched.getOrDefault(p.id.number(), 0) + count);
      pending += count + (before == null ? 1 + set.channel().messageOverheadEntries() : 0);
    }

    /** Known tables lose what left by their own lines; withdrawals are for unknown, small ones. */
    void withdraw(int i, boolean leaves) {
      if (task[i] == null) return;
      if (leaves ? proxies.values().stream().noneMatch(p -> p.joined && !p.bound) : !out[i]) return;
      out[i] = leaves;
      first.add(new Command.ExcludeEndpoint(task[i].id, leaves));
      proxies.values().stream()
          .filter(
              p ->
                  p.joined
                      && (p.bound
                          ? p.names(i)
                          : touched.getOrDefault(p.id.number(), 0) < mostNamed()))
          .forEach(p -> touch(p, 1));
    }

    private int mostNamed() {
      return set.channel().proxyTablesUnknown() ? tasks : set.routing().bootstrapRouteCount();
    }

    void line(Proxy p, int i, double weight) {
      lines.add(new Command.SetRoute(new RouteTableId(p.id.number()), task[i].id, weight));
      if (p.bound) touch(p, 1);
    }

    void bind(Proxy p) {
      binds.add(new Command.AssignRouteTable(new RouteTableId(p.id.number()), p.id, 0));
      int some = (int) p.table.stream().filter(l -> l.has > 0).count();
      touch(p, 3 + (set.channel().proxyTablesUnknown() && !p.fresh ? 2 * some : some));
    }

    /** Answers tell how far the channel is, whatever its pace; without them it counts as slow. */
    void answered(Proxy p, int number) {
      Reply r = replies.get(number);
      if (r == null) return;
      lastAnswer = now;
      double next = Math.max(passed, r.start) + r.lines / r.messages;
      passed = Math.max(passed, Math.min(next, r.start + r.lines));
      if (r.start + r.lines >= p.sentTo) p.waiting = 0;
      for (Freed f : planner.moving) f.answered |= f.proxy == p && f.start <= r.start;
    }

    /**
     * What waits for one that leaves is lost and never answered: a herd that left once silenced us.
     */
    void left(Proxy p) {
      if (p.sentTo > passed) passed = Math.min(sent, passed + p.waiting);
      p.waiting = 0;
    }

    private double queued() {
      double slowest =
          Math.max(0, emptyAt - now)
              * set.channel().entriesPerSecond()
              / CHANNEL_SLOW
              / DeciMillis.SECOND;
      return pending + Math.min(now - lastAnswer < SHOWS_AFTER ? sent : slowest, sent - passed);
    }

    private int recent(Proxy p) {
      p.messages.removeIf(at -> now - at > set.channel().messageWindow());
      return p.messages.size();
    }

    /**
     * Whether all unknown tables can be told what left; where not, first tables tell it for less.
     */
    boolean roomForWarnings() {
      long out = IntStream.range(0, tasks).filter(i -> !live(i)).limit(mostNamed()).count();
      long unknown = proxies.values().stream().filter(p -> p.joined && !p.bound).count();
      return queued() + unknown * (1 + set.channel().messageOverheadEntries() + out)
          <= CROWD_LINES * set.channel().maxBacklogEntries();
    }

    /**
     * What can't wait goes at once, but bunched once a proxy had many messages; new tables can
     * wait.
     */
    boolean roomForUrgent(Proxy p) {
      double most = p.bound ? URGENT_LINES : planner.crowded ? CROWD_LINES : FIRST_LINES;
      if (queued() > most * set.channel().maxBacklogEntries()) return false;
      if (set.channel().maxMessagesPerProxy() == 0
          || recent(p) < ROUTINE_MESSAGES * set.channel().maxMessagesPerProxy()) return true;
      return recent(p) < set.channel().maxMessagesPerProxy() - SPARE_MESSAGES
          && now - p.messages.peekLast() >= BUNCH_WAIT;
    }

    /**
     * Routine orders leave most of the channel and of a proxy's messages to drains and empty
     * tables.
     */
    boolean roomForRoutine(Proxy p) {
      return queued() < ROUTINE_LINES * set.channel().maxBacklogEntries()
          && (set.channel().maxMessagesPerProxy() == 0
              || recent(p) < ROUTINE_MESSAGES * set.channel().maxMessagesPerProxy());
    }

    boolean roomForLevels() {
      double most =
          set.channel().maxMessagesPerProxy() == 0
              ? 1e9
              : 2 * ROUTINE_MESSAGES * set.channel().maxMessagesPerProxy();
      return queued() < FIRST_LINES * set.channel().maxBacklogEntries()
          && proxies.values().stream().allMatch(p -> !p.joined || recent(p) < most);
    }

    /** Ops are tried again on proof that no try ran, and never when there is too much. */
    void admit(double level, double[] levels) {
      RetryPolicy again = level < 1 ? RetryPolicy.NEVER : RetryPolicy.IF_NOT_EXECUTED;
      TreeMap<Double, Integer> bits = new TreeMap<>();
      for (int k = 0; k < levels.length; k++) {
        double value = set.admissionLimitKind() == AdmissionLimitKind.RATE ? ALL_OPS : levels[k];
        bits.merge(value, 1 << k, Integer::sum);
      }
      bits.forEach(
          (value, of) ->
              first.add(new Command.LimitAdmission(Command.ALL_TABLES, of, again, value)));
      for (Proxy p : proxies.values()) if (p.joined) touch(p, bits.size());
    }

    List<Command> flush() {
      if (mark == 0) {
        mark = 1;
        admit(1, set.requestClasses().stream().mapToDouble(t -> 1).toArray());
      }
      List<Command> orders = new ArrayList<>();
      for (List<Command> some : List.of(others, first, lines, binds)) {
        orders.addAll(some);
        some.clear();
      }
      if (!touched.isEmpty()) {
        orders.add(new Command.RequestAck(new AckId(mark), false));
        replies.put(mark, new Reply(sent, pending, touched.size()));
        mark = mark % MARKS + 1;
        sent += pending;
        emptyAt =
            Math.max(emptyAt, now)
                + (long)
                    (pending * DeciMillis.SECOND * CHANNEL_SLOW / set.channel().entriesPerSecond());
        for (int id : touched.keySet()) {
          Proxy p = proxies.get(id);
          p.messages.add(now);
          p.waiting =
              (p.sentTo > passed ? p.waiting : 0)
                  + 1
                  + set.channel().messageOverheadEntries()
                  + touched.get(id);
          p.sentTo = sent;
        }
      }
      pending = 0;
      touched.clear();
      return orders;
    }
  }
}
