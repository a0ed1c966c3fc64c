package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.PeerId;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RouteTableId;
import stonespring.model.Settings;
import stonespring.model.ZoneId;
import stonespring.recorded.CommandEncoder;
import stonespring.recorded.RecordedDigests;

/**
 * Holds the decisions as they are: seeded runs of a small fleet, whose every command, in order and
 * with its numbers' full bits, is digested and compared with a recording. A change that is meant to
 * decide differently renews the recording and says so.
 */
final class RecordedCommandsTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final long STEP = SECOND / 10;
  private static final int STEPS = 320; // 32 s
  private static final int PROXIES = 8;
  private static final int ENDPOINTS = 10;
  private static final double CAPACITY = 40; // requests a second of one endpoint
  private static final int SEEDS = 2;

  /** What befalls the fleet before a step. */
  private interface Trouble {
    void before(Run run, int step);
  }

  private record Scenario(String name, Settings settings, Trouble trouble) {}

  /** Passes everything on and digests what comes back. */
  private record Recorder(DecisionEngine engine, RecordedDigests.Recording recording)
      implements DecisionEngine {
    @Override
    public void handle(long now, Event event) {
      engine.handle(now, event);
    }

    @Override
    public List<Command> endBatch(long now) {
      List<Command> commands = engine.endBatch(now);
      recording.add(CommandEncoder.encode(commands));
      return commands;
    }
  }

  /** One run of a scenario: a closed loop of tables, load, late reports and acknowledgements. */
  private static final class Run {
    private final Fleet fleet;
    private final SplittableRandom random;
    private final RecordedDigests.Recording recording = new RecordedDigests.Recording();
    private final ArrayDeque<Map.Entry<Long, Event>> late = new ArrayDeque<>();
    private final Map<String, Double> extraBad = new HashMap<>();
    private long delay = SECOND / 5;
    private long seed;
    private int nextEndpoint = ENDPOINTS;
    private int acknowledgeEvery = 2;
    private int commands;

    Run(Settings settings, long seed) {
      this.fleet = new Fleet(settings);
      this.random = new SplittableRandom(seed);
      this.seed = seed;
    }

    private void start() {
      fleet.start(seed);
      fleet.assigner = new Recorder(fleet.assigner, recording);
    }

    void restart() {
      seed += 100;
      start();
      fleet.proxies.values().stream()
          .filter(p -> p.joined)
          .map(p -> p.number)
          .toList()
          .forEach(number -> fleet.join(number, 0, 0, false));
    }

    void setUp() {
      for (int i = 0; i < ENDPOINTS; i++) {
        fleet.list.put(name(i), Fleet.listing(name(i), i % 2, EndpointRecord.State.READY, 0));
      }
      start();
      for (int i = 0; i < PROXIES; i++) {
        fleet.join(i, i % 2, 4 + random.nextInt(45), i % 3 != 2);
      }
    }

    static String name(int endpoint) {
      return "e" + endpoint;
    }

    void replace(int endpoint, boolean drain) {
      int zone = fleet.list.get(name(endpoint)).zone().index();
      fleet.listed(
          name(endpoint),
          zone,
          drain ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED,
          0);
      fleet.listed(name(nextEndpoint++), zone, EndpointRecord.State.READY, fleet.now);
    }

    private double warmUp(EndpointRecord l) {
      return l == null ? 0 : fleet.settings.slowStart().warmUpFraction(l.startedAt(), fleet.now);
    }

    private void report() {
      Map<String, Double> bad = new HashMap<>(extraBad);
      double worst = 0;
      for (int i = 0; i < nextEndpoint; i++) {
        double able = CAPACITY * warmUp(fleet.list.get(name(i)));
        double load = fleet.surge * fleet.meanLevel() * fleet.load(name(i));
        double over = load <= 0 ? 0 : Math.max(0, 1 - able / load);
        worst = Math.max(worst, over);
        bad.merge(name(i), over, Math::max);
      }
      fleet.latency = 800 + (long) (4000 * worst) + random.nextInt(100);
      int known = fleet.due.size();
      fleet.sums(fleet.surge / CAPACITY, bad);
      List<Event> told = fleet.due.subList(known, fleet.due.size());
      for (Event event : told) {
        late.add(Map.entry(fleet.now + delay, event));
      }
      told.clear();
    }

    void play(Trouble trouble) {
      setUp();
      for (int step = 0; step < STEPS; step++) {
        trouble.before(this, step);
        if (step % 10 == 9) {
          report();
        }
        while (!late.isEmpty() && late.peek().getKey() <= fleet.now) {
          fleet.due.add(late.poll().getValue());
        }
        if (step % acknowledgeEvery == 0) {
          fleet.due.addAll(fleet.answers);
          fleet.answers.clear();
        }
        commands += fleet.step(STEP).size();
      }
    }
  }

  private static Settings settings(AdmissionLimitKind kind) {
    return Fleet.settings(1, kind, 30, 5);
  }

  private static Settings sharded() {
    Settings s = settings(AdmissionLimitKind.FRACTION);
    return new Settings(
        new Settings.Fleet(s.fleet().instances(), s.fleet().zones(), s.fleet().proxies(), true),
        s.requestClasses(),
        new Settings.EndpointListRules(
            s.endpointList().watchRequired(), s.endpointList().removedEndpointsKeepServing()),
        s.admissionLimitKind(),
        new Settings.ChannelLimits(
            s.channel().maxBacklogEntries(),
            s.channel().messageOverheadEntries(),
            s.channel().maxMessagesPerProxy(),
            s.channel().messageWindow(),
            s.channel().entriesPerSecond(),
            false),
        new Settings.RoutingRules(
            s.routing().maxTimeWithoutEndpoint(),
            s.routing().bootstrapRouteCount(),
            s.routing().crossZonePenalty(),
            s.routing().worstClassWeight(),
            s.routing().ejectAfterConsecutiveFailures()),
        new Settings.SlowStart(
            s.slowStart().window(),
            s.slowStart().initialFraction(),
            s.slowStart().overloadMultiple()),
        s.reportInterval());
  }

  private static void calm(Run run, int step) {
    run.fleet.surge = 1 + 0.1 * run.random.nextDouble();
  }

  private static void surge(Run run, int step) {
    run.fleet.surge = step > 80 && step < 220 ? 2.5 : 1;
  }

  private static void overload(Run run, int step) {
    run.fleet.surge = step > 60 && step < 200 ? 6 : 1;
  }

  private static void drains(Run run, int step) {
    if (step % 30 == 20 && step / 30 < ENDPOINTS) {
      run.replace(step / 30, step % 60 == 20);
    }
  }

  private static void lostZone(Run run, int step) {
    if (step == 100) {
      run.fleet.proxies.values().stream()
          .filter(p -> p.joined && p.zone == 0)
          .map(p -> p.number)
          .toList()
          .forEach(run.fleet::leave);
    }
    for (int i = 0; i < ENDPOINTS; i += 2) {
      if (step == 120) {
        run.fleet.listed(Run.name(i), 0, EndpointRecord.State.REMOVED, 0);
      } else if (step == 180) {
        run.fleet.listed(Run.name(i), 0, EndpointRecord.State.READY, run.fleet.now);
      }
    }
    if (step == 190) {
      run.fleet.proxies.values().stream()
          .filter(p -> !p.joined)
          .map(p -> p.number)
          .toList()
          .forEach(number -> run.fleet.join(number, 0, 0, number % 4 == 0));
    }
  }

  private static void restarts(Run run, int step) {
    if (step == 90 || step == 96 || step == 200) {
      run.restart();
    }
    drains(run, step);
  }

  private static void warmUp(Run run, int step) {
    surge(run, step);
    if (step >= 60 && step < 180 && step % 8 == 0) {
      run.fleet.listed(
          Run.name(run.nextEndpoint++),
          step % 16 == 0 ? 0 : 1,
          EndpointRecord.State.READY,
          run.fleet.now);
    }
    if (step == 150) {
      run.fleet.listed(
          Run.name(3), 1, EndpointRecord.State.READY, run.fleet.now); // it started again
    }
  }

  private static void lateReports(Run run, int step) {
    run.delay = step > 70 && step < 200 ? 5 * SECOND : SECOND / 5;
    run.acknowledgeEvery = step > 70 && step < 200 ? 37 : 2;
    surge(run, step);
    drains(run, step);
  }

  private static void badEndpoints(Run run, int step) {
    if (step == 70) {
      run.extraBad.put(Run.name(1), 0.9);
      run.extraBad.put(Run.name(4), 0.4);
    } else if (step == 200) {
      run.extraBad.clear();
    }
  }

  private static void proposals(Run run, int step) {
    surge(run, step);
    drains(run, step);
    if (step % 40 == 15) {
      for (int p = 0; p < PROXIES; p += 2) {
        List<Event.WeightsProposed.Share> shares = new ArrayList<>();
        for (int i = p; i < p + 5; i++) {
          shares.add(new Event.WeightsProposed.Share(new EndpointId(Run.name(i % ENDPOINTS)), 0.2));
        }
        run.fleet.due.add(new Event.WeightsProposed(new ProxyId(p), shares));
      }
    }
  }

  private static void advised(Run run, int step) {
    run.fleet.advised = true;
    if (step == 0) {
      run.restart();
    }
    surge(run, step);
    drains(run, step);
  }

  private static void lists(Run run, int step) {
    List<Event> due = run.fleet.due;
    if (step == 40 || step == 45 || step == 130) {
      due.add(new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
    } else if (step == 80 || step == 200) {
      due.add(
          new Event.EndpointListUpdate(
              Event.ListUpdateKind.SNAPSHOT, List.copyOf(run.fleet.list.values())));
    } else if (step == 120) {
      run.fleet.list.remove(Run.name(2));
      run.fleet.list.remove(Run.name(5));
      due.add(
          new Event.EndpointListUpdate(
              Event.ListUpdateKind.SNAPSHOT, List.copyOf(run.fleet.list.values())));
    }
  }

  private static void wrongList(Run run, int step) {
    if (step == 80) {
      for (int i = 0; i < 4; i++) {
        run.fleet.listed(Run.name(i), i % 2, EndpointRecord.State.REMOVED, 0);
      }
      run.extraBad.put(Run.name(1), 1.0);
    }
  }

  private static void herd(Run run, int step) {
    if (step == 100 || step == 140) {
      run.fleet.proxies.values().stream()
          .filter(p -> p.joined)
          .map(p -> p.number)
          .toList()
          .forEach(run.fleet::leave);
    }
    if (step > 100 && step < 140 && step % 3 == 0 || step > 145 && step % 5 == 0) {
      int number = run.random.nextInt(PROXIES + 6);
      if (!run.fleet.proxies.containsKey(number) || !run.fleet.proxies.get(number).joined) {
        run.fleet.join(number, number % 2, 10 + number, run.random.nextBoolean());
      }
    }
    drains(run, step);
  }

  private static void shards(Run run, int step) {
    List<Event> due = run.fleet.due;
    if (step % 25 == 5) {
      RouteTableId shard = new RouteTableId(step / 25);
      due.add(new Event.ShardOwnership(shard, step % 50 == 5));
      due.add(new Event.ShardRoute(shard, new EndpointId(Run.name(step / 25 % ENDPOINTS)), 1));
      due.add(new Event.ShardRequestRate(shard, new RequestClassId(0), 40, 1, SECOND));
    }
    drains(run, step);
  }

  private static void peers(Run run, int step) {
    if (step % 20 == 3) {
      run.fleet.due.add(new Event.PeerMessage(new PeerId(1), new byte[] {1, 2, (byte) step}));
      run.fleet.due.add(
          new Event.HealthCheckResult(
              new EndpointId(Run.name(0)), step % 40 == 3, 500, LoadReport.NONE));
      run.fleet.due.add(
          new Event.EndpointOutcomes(
              new EndpointId("unlisted" + step % 3),
              new ZoneId(0),
              20,
              12,
              SECOND,
              700,
              new LoadReport(0.4, 2, 3, 12, 55)));
    }
    restarts(run, step);
  }

  private static List<Scenario> scenarios() {
    Settings share = settings(AdmissionLimitKind.FRACTION);
    Settings narrow = Fleet.settings(1, AdmissionLimitKind.FRACTION, 12, 5, true, 250, 200, false);
    List<Scenario> all =
        new ArrayList<>(
            List.of(
                new Scenario("calm", share, RecordedCommandsTest::calm),
                new Scenario("surge", share, RecordedCommandsTest::surge),
                new Scenario("overload", share, RecordedCommandsTest::overload),
                new Scenario(
                    "overload-rates",
                    settings(AdmissionLimitKind.RATE),
                    RecordedCommandsTest::overload),
                new Scenario(
                    "overload-no-limits",
                    settings(AdmissionLimitKind.NONE),
                    RecordedCommandsTest::overload),
                new Scenario(
                    "overload-unlimited-messages",
                    Fleet.settings(1, AdmissionLimitKind.FRACTION, 0, 0),
                    RecordedCommandsTest::overload),
                new Scenario("drains", share, RecordedCommandsTest::drains),
                new Scenario("drains-narrow", narrow, RecordedCommandsTest::drains),
                new Scenario("drains-on-sockets", share.onPlatform(), RecordedCommandsTest::drains),
                new Scenario("lost-zone", share, RecordedCommandsTest::lostZone),
                new Scenario("lost-zone-narrow", narrow, RecordedCommandsTest::lostZone),
                new Scenario("restarts", share, RecordedCommandsTest::restarts),
                new Scenario(
                    "restarts-on-sockets", narrow.onPlatform(), RecordedCommandsTest::restarts),
                new Scenario("warm-up", share, RecordedCommandsTest::warmUp),
                new Scenario(
                    "warm-up-rates",
                    settings(AdmissionLimitKind.RATE),
                    RecordedCommandsTest::warmUp),
                new Scenario("late-reports", share, RecordedCommandsTest::lateReports),
                new Scenario("late-reports-narrow", narrow, RecordedCommandsTest::lateReports),
                new Scenario("bad-endpoints", share, RecordedCommandsTest::badEndpoints),
                new Scenario("proposals", share, RecordedCommandsTest::proposals),
                new Scenario("advised", share, RecordedCommandsTest::advised),
                new Scenario(
                    "lists",
                    Fleet.settings(1, AdmissionLimitKind.FRACTION, 30, 5, true),
                    RecordedCommandsTest::lists),
                new Scenario(
                    "wrong-list",
                    Fleet.settings(1, AdmissionLimitKind.FRACTION, 30, 5, false, 3000, 2500, true),
                    RecordedCommandsTest::wrongList),
                new Scenario("herd", share, RecordedCommandsTest::herd),
                new Scenario("herd-on-sockets", narrow.onPlatform(), RecordedCommandsTest::herd),
                new Scenario("shards", sharded(), RecordedCommandsTest::shards),
                new Scenario(
                    "three-instances",
                    Fleet.settings(3, AdmissionLimitKind.FRACTION, 30, 5),
                    RecordedCommandsTest::peers)));
    return all;
  }

  @Test
  void everyCommandOfSeededRunsIsAsRecorded() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    for (Scenario scenario : scenarios()) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        Run run = new Run(scenario.settings(), seed);
        run.play(scenario.trouble());
        assertTrue(run.commands > 0, scenario.name() + " commanded nothing");
        digests.put(
            scenario.name() + "/" + seed + " (" + run.commands + " commands)", run.recording);
      }
    }
    digests.check("commands.sha256");
  }

  /**
   * Replaced endpoints over a quarter of an hour: what was long gone is forgotten, and its index
   * used again.
   */
  @Test
  void everyCommandOfALongRunIsAsRecorded() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    Run run = new Run(settings(AdmissionLimitKind.FRACTION), 7);
    run.setUp();
    for (int second = 0; second < 1500; second++) {
      if (second % 20 == 10) {
        int oldest = second / 20;
        if (run.fleet.list.containsKey(Run.name(oldest))) {
          run.replace(oldest, second % 40 == 10);
        }
      }
      run.fleet.surge = 1 + 0.5 * Math.sin(second / 30.0);
      run.report();
      run.late.forEach(e -> run.fleet.due.add(e.getValue()));
      run.late.clear();
      run.fleet.due.addAll(run.fleet.answers);
      run.fleet.answers.clear();
      run.commands += run.fleet.step(SECOND).size();
    }
    digests.put("long (" + run.commands + " commands)", run.recording);
    digests.check("long-run.sha256");
  }
}
