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
 * Guards against unintended changes of decisions. Runs a small fleet with fixed seeds, digests
 * every command in order with all bits of its numbers, and compares the digests with recorded ones.
 * A change that is meant to alter decisions updates the recording and says so.
 */
final class RecordedCommandsTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final long STEP_DECI_MILLIS = SECOND / 10;
  private static final int STEP_COUNT = 320; // 32 s
  private static final int PROXY_COUNT = 8;
  private static final int ENDPOINT_COUNT = 10;
  private static final double CAPACITY = 40; // requests per second that one endpoint can serve
  private static final int SEED_COUNT = 2;

  /** A change that a scenario applies to the fleet before each step. */
  private interface FleetChange {
    void applyBefore(Run run, int step);
  }

  private record Scenario(String name, Settings settings, FleetChange change) {}

  /** Passes all calls on to an engine, and adds the returned commands to a recording. */
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

  /**
   * One run of a scenario. It is a closed loop: the engine's tables determine the load of the
   * endpoints, which determines later reports.
   */
  private static final class Run {
    private final Fleet fleet;
    private final SplittableRandom random;
    private final RecordedDigests.Recording recording = new RecordedDigests.Recording();
    private final ArrayDeque<Map.Entry<Long, Event>> delayedReports = new ArrayDeque<>();
    private final Map<String, Double> extraFailures = new HashMap<>();
    private long reportDelay = SECOND / 5;
    private long seed;
    private int nextEndpoint = ENDPOINT_COUNT;
    private int stepsPerAcknowledgement = 2;
    private int commandCount;

    Run(Settings settings, long seed) {
      this.fleet = new Fleet(settings);
      this.random = new SplittableRandom(seed);
      this.seed = seed;
    }

    private void startEngine() {
      fleet.startEngine(seed);
      fleet.engine = new Recorder(fleet.engine, recording);
    }

    /** Replaces the engine by one with another seed; all proxies reconnect. */
    void restartEngine() {
      seed += 100;
      startEngine();
      fleet.proxies.values().stream()
          .filter(p -> p.connected)
          .map(p -> p.number)
          .toList()
          .forEach(number -> fleet.connect(number, 0, 0, false));
    }

    void setUp() {
      for (int i = 0; i < ENDPOINT_COUNT; i++) {
        fleet.endpoints.put(
            name(i), Fleet.endpointRecord(name(i), i % 2, EndpointRecord.State.READY, 0));
      }
      startEngine();
      for (int i = 0; i < PROXY_COUNT; i++) {
        fleet.connect(i, i % 2, 4 + random.nextInt(45), i % 3 != 2);
      }
    }

    static String name(int endpoint) {
      return "e" + endpoint;
    }

    /** Drains or removes an endpoint, and adds a new one in the same zone. */
    void replace(int endpoint, boolean drain) {
      int zone = fleet.endpoints.get(name(endpoint)).zone().index();
      fleet.updateEndpoint(
          name(endpoint),
          zone,
          drain ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED,
          0);
      fleet.updateEndpoint(name(nextEndpoint++), zone, EndpointRecord.State.READY, fleet.now);
    }

    /**
     * Returns the warm-up fraction of an endpoint; 0 for null, which stands for an endpoint that is
     * not listed.
     */
    private double warmUpFraction(EndpointRecord endpoint) {
      return endpoint == null ? 0 : fleet.warmUpFraction(endpoint);
    }

    /** Queues reports in which attempts beyond an endpoint's capacity fail. */
    private void report() {
      Map<String, Double> failureShares = new HashMap<>(extraFailures);
      double worstOverload = 0;
      for (int i = 0; i < nextEndpoint; i++) {
        double capacity = CAPACITY * warmUpFraction(fleet.endpoints.get(name(i)));
        double load = fleet.trafficFactor * fleet.meanLimit() * fleet.load(name(i));
        double overload = load <= 0 ? 0 : Math.max(0, 1 - capacity / load);
        worstOverload = Math.max(worstOverload, overload);
        failureShares.merge(name(i), overload, Math::max);
      }
      fleet.successLatency = 800 + (long) (4000 * worstOverload) + random.nextInt(100);
      int eventsBefore = fleet.events.size();
      fleet.report(fleet.trafficFactor / CAPACITY, failureShares);
      List<Event> reports = fleet.events.subList(eventsBefore, fleet.events.size());
      for (Event event : reports) {
        delayedReports.add(Map.entry(fleet.now + reportDelay, event));
      }
      reports.clear();
    }

    void simulate(FleetChange change) {
      setUp();
      for (int step = 0; step < STEP_COUNT; step++) {
        change.applyBefore(this, step);
        if (step % 10 == 9) {
          report();
        }
        while (!delayedReports.isEmpty() && delayedReports.peek().getKey() <= fleet.now) {
          fleet.events.add(delayedReports.poll().getValue());
        }
        if (step % stepsPerAcknowledgement == 0) {
          fleet.acknowledgeAll();
        }
        commandCount += fleet.step(STEP_DECI_MILLIS).size();
      }
    }
  }

  private static Settings settings(AdmissionLimitKind kind) {
    return new FleetSettings().limitKind(kind).bootstrapRoutes(5).build();
  }

  private static Settings sharded() {
    return new FleetSettings().bootstrapRoutes(5).sharded().build();
  }

  private static void steadyTraffic(Run run, int step) {
    run.fleet.trafficFactor = 1 + 0.1 * run.random.nextDouble();
  }

  private static void surge(Run run, int step) {
    run.fleet.trafficFactor = step > 80 && step < 220 ? 2.5 : 1;
  }

  private static void overload(Run run, int step) {
    run.fleet.trafficFactor = step > 60 && step < 200 ? 6 : 1;
  }

  private static void replacedEndpoints(Run run, int step) {
    if (step % 30 == 20 && step / 30 < ENDPOINT_COUNT) {
      run.replace(step / 30, step % 60 == 20);
    }
  }

  private static void lostZone(Run run, int step) {
    if (step == 100) {
      run.fleet.proxies.values().stream()
          .filter(p -> p.connected && p.zone == 0)
          .map(p -> p.number)
          .toList()
          .forEach(run.fleet::disconnect);
    }
    for (int i = 0; i < ENDPOINT_COUNT; i += 2) {
      if (step == 120) {
        run.fleet.updateEndpoint(Run.name(i), 0, EndpointRecord.State.REMOVED, 0);
      } else if (step == 180) {
        run.fleet.updateEndpoint(Run.name(i), 0, EndpointRecord.State.READY, run.fleet.now);
      }
    }
    if (step == 190) {
      run.fleet.proxies.values().stream()
          .filter(p -> !p.connected)
          .map(p -> p.number)
          .toList()
          .forEach(number -> run.fleet.connect(number, 0, 0, number % 4 == 0));
    }
  }

  private static void restarts(Run run, int step) {
    if (step == 90 || step == 96 || step == 200) {
      run.restartEngine();
    }
    replacedEndpoints(run, step);
  }

  private static void warmUp(Run run, int step) {
    surge(run, step);
    if (step >= 60 && step < 180 && step % 8 == 0) {
      run.fleet.updateEndpoint(
          Run.name(run.nextEndpoint++),
          step % 16 == 0 ? 0 : 1,
          EndpointRecord.State.READY,
          run.fleet.now);
    }
    if (step == 150) {
      run.fleet.updateEndpoint(
          Run.name(3), 1, EndpointRecord.State.READY, run.fleet.now); // its process restarted
    }
  }

  private static void lateReports(Run run, int step) {
    run.reportDelay = step > 70 && step < 200 ? 5 * SECOND : SECOND / 5;
    run.stepsPerAcknowledgement = step > 70 && step < 200 ? 37 : 2;
    surge(run, step);
    replacedEndpoints(run, step);
  }

  private static void failingEndpoints(Run run, int step) {
    if (step == 70) {
      run.extraFailures.put(Run.name(1), 0.9);
      run.extraFailures.put(Run.name(4), 0.4);
    } else if (step == 200) {
      run.extraFailures.clear();
    }
  }

  private static void proposals(Run run, int step) {
    surge(run, step);
    replacedEndpoints(run, step);
    if (step % 40 == 15) {
      for (int p = 0; p < PROXY_COUNT; p += 2) {
        List<Event.WeightsProposed.Share> shares = new ArrayList<>();
        for (int i = p; i < p + 5; i++) {
          shares.add(
              new Event.WeightsProposed.Share(new EndpointId(Run.name(i % ENDPOINT_COUNT)), 0.2));
        }
        run.fleet.events.add(new Event.WeightsProposed(new ProxyId(p), shares));
      }
    }
  }

  private static void solverAdvice(Run run, int step) {
    run.fleet.withSolver = true;
    if (step == 0) {
      run.restartEngine();
    }
    surge(run, step);
    replacedEndpoints(run, step);
  }

  private static void listFailuresAndSnapshots(Run run, int step) {
    List<Event> events = run.fleet.events;
    if (step == 40 || step == 45 || step == 130) {
      events.add(new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
    } else if (step == 80 || step == 200) {
      events.add(
          new Event.EndpointListUpdate(
              Event.ListUpdateKind.SNAPSHOT, List.copyOf(run.fleet.endpoints.values())));
    } else if (step == 120) {
      run.fleet.endpoints.remove(Run.name(2));
      run.fleet.endpoints.remove(Run.name(5));
      events.add(
          new Event.EndpointListUpdate(
              Event.ListUpdateKind.SNAPSHOT, List.copyOf(run.fleet.endpoints.values())));
    }
  }

  private static void listWithoutServingEndpoints(Run run, int step) {
    if (step == 80) {
      for (int i = 0; i < 4; i++) {
        run.fleet.updateEndpoint(Run.name(i), i % 2, EndpointRecord.State.REMOVED, 0);
      }
      run.extraFailures.put(Run.name(1), 1.0);
    }
  }

  private static void massReconnect(Run run, int step) {
    if (step == 100 || step == 140) {
      run.fleet.proxies.values().stream()
          .filter(p -> p.connected)
          .map(p -> p.number)
          .toList()
          .forEach(run.fleet::disconnect);
    }
    if (step > 100 && step < 140 && step % 3 == 0 || step > 145 && step % 5 == 0) {
      int number = run.random.nextInt(PROXY_COUNT + 6);
      if (!run.fleet.proxies.containsKey(number) || !run.fleet.proxies.get(number).connected) {
        run.fleet.connect(number, number % 2, 10 + number, run.random.nextBoolean());
      }
    }
    replacedEndpoints(run, step);
  }

  private static void shardEvents(Run run, int step) {
    List<Event> events = run.fleet.events;
    if (step % 25 == 5) {
      RouteTableId shard = new RouteTableId(step / 25);
      events.add(new Event.ShardOwnership(shard, step % 50 == 5));
      events.add(
          new Event.ShardRoute(shard, new EndpointId(Run.name(step / 25 % ENDPOINT_COUNT)), 1));
      events.add(new Event.ShardRequestRate(shard, new RequestClassId(0), 40, 1, SECOND));
    }
    replacedEndpoints(run, step);
  }

  private static void peerMessages(Run run, int step) {
    if (step % 20 == 3) {
      run.fleet.events.add(new Event.PeerMessage(new PeerId(1), new byte[] {1, 2, (byte) step}));
      run.fleet.events.add(
          new Event.HealthCheckResult(
              new EndpointId(Run.name(0)), step % 40 == 3, 500, LoadReport.NONE));
      run.fleet.events.add(
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

  /** All scenarios in the order of the recording; their names are keys of the recording. */
  private static List<Scenario> scenarios() {
    List<Scenario> all = new ArrayList<>(trafficScenarios());
    all.addAll(changingFleetScenarios());
    all.addAll(otherScenarios());
    return all;
  }

  private static Settings narrowChannel() {
    return new FleetSettings()
        .maxMessages(12)
        .bootstrapRoutes(5)
        .watchRequired()
        .channel(250, 200)
        .build();
  }

  private static List<Scenario> trafficScenarios() {
    Settings fractionLimitSettings = settings(AdmissionLimitKind.FRACTION);
    Settings rateLimitSettings = settings(AdmissionLimitKind.RATE);
    Settings noLimitSettings = settings(AdmissionLimitKind.NONE);
    Settings unlimitedMessageSettings =
        new FleetSettings().maxMessages(0).bootstrapRoutes(0).build();
    return List.of(
        new Scenario("calm", fractionLimitSettings, RecordedCommandsTest::steadyTraffic),
        new Scenario("surge", fractionLimitSettings, RecordedCommandsTest::surge),
        new Scenario("overload", fractionLimitSettings, RecordedCommandsTest::overload),
        new Scenario("overload-rates", rateLimitSettings, RecordedCommandsTest::overload),
        new Scenario("overload-no-limits", noLimitSettings, RecordedCommandsTest::overload),
        new Scenario(
            "overload-unlimited-messages",
            unlimitedMessageSettings,
            RecordedCommandsTest::overload));
  }

  private static List<Scenario> changingFleetScenarios() {
    Settings fractionLimitSettings = settings(AdmissionLimitKind.FRACTION);
    Settings rateLimitSettings = settings(AdmissionLimitKind.RATE);
    Settings narrow = narrowChannel();
    Settings onSockets = narrow.withPlatformConstraints();
    return List.of(
        new Scenario("drains", fractionLimitSettings, RecordedCommandsTest::replacedEndpoints),
        new Scenario("drains-narrow", narrow, RecordedCommandsTest::replacedEndpoints),
        new Scenario(
            "drains-on-sockets",
            fractionLimitSettings.withPlatformConstraints(),
            RecordedCommandsTest::replacedEndpoints),
        new Scenario("lost-zone", fractionLimitSettings, RecordedCommandsTest::lostZone),
        new Scenario("lost-zone-narrow", narrow, RecordedCommandsTest::lostZone),
        new Scenario("restarts", fractionLimitSettings, RecordedCommandsTest::restarts),
        new Scenario("restarts-on-sockets", onSockets, RecordedCommandsTest::restarts),
        new Scenario("warm-up", fractionLimitSettings, RecordedCommandsTest::warmUp),
        new Scenario("warm-up-rates", rateLimitSettings, RecordedCommandsTest::warmUp));
  }

  private static List<Scenario> otherScenarios() {
    Settings fractionLimitSettings = settings(AdmissionLimitKind.FRACTION);
    Settings narrow = narrowChannel();
    Settings onSockets = narrow.withPlatformConstraints();
    Settings watched = new FleetSettings().bootstrapRoutes(5).watchRequired().build();
    Settings keepServing = new FleetSettings().bootstrapRoutes(5).removedKeepServing(true).build();
    Settings threeInstances = new FleetSettings().instances(3).bootstrapRoutes(5).build();
    return List.of(
        new Scenario("late-reports", fractionLimitSettings, RecordedCommandsTest::lateReports),
        new Scenario("late-reports-narrow", narrow, RecordedCommandsTest::lateReports),
        new Scenario(
            "bad-endpoints", fractionLimitSettings, RecordedCommandsTest::failingEndpoints),
        new Scenario("proposals", fractionLimitSettings, RecordedCommandsTest::proposals),
        new Scenario("advised", fractionLimitSettings, RecordedCommandsTest::solverAdvice),
        new Scenario("lists", watched, RecordedCommandsTest::listFailuresAndSnapshots),
        new Scenario("wrong-list", keepServing, RecordedCommandsTest::listWithoutServingEndpoints),
        new Scenario("herd", fractionLimitSettings, RecordedCommandsTest::massReconnect),
        new Scenario("herd-on-sockets", onSockets, RecordedCommandsTest::massReconnect),
        new Scenario("shards", sharded(), RecordedCommandsTest::shardEvents),
        new Scenario("three-instances", threeInstances, RecordedCommandsTest::peerMessages));
  }

  @Test
  void seededRunsIssueRecordedCommands() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    for (Scenario scenario : scenarios()) {
      for (long seed = 1; seed <= SEED_COUNT; seed++) {
        Run run = new Run(scenario.settings(), seed);
        run.simulate(scenario.change());
        assertTrue(
            run.commandCount > 0, "the engine issued no command in scenario " + scenario.name());
        digests.put(
            scenario.name() + "/" + seed + " (" + run.commandCount + " commands)", run.recording);
      }
    }
    digests.check("commands.sha256");
  }

  /**
   * Replaces endpoints for 25 minutes, so that endpoints removed long ago are evicted and their
   * indexes reused.
   */
  @Test
  void longRunIssuesRecordedCommands() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    Run run = new Run(settings(AdmissionLimitKind.FRACTION), 7);
    run.setUp();
    for (int second = 0; second < 1500; second++) {
      if (second % 20 == 10) {
        int oldest = second / 20;
        if (run.fleet.endpoints.containsKey(Run.name(oldest))) {
          run.replace(oldest, second % 40 == 10);
        }
      }
      run.fleet.trafficFactor = 1 + 0.5 * Math.sin(second / 30.0);
      run.report();
      run.delayedReports.forEach(e -> run.fleet.events.add(e.getValue()));
      run.delayedReports.clear();
      run.fleet.events.addAll(run.fleet.acknowledgements);
      run.fleet.acknowledgements.clear();
      run.commandCount += run.fleet.step(SECOND).size();
    }
    digests.put("long (" + run.commandCount + " commands)", run.recording);
    digests.check("long-run.sha256");
  }
}
