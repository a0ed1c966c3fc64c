package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.decision.AssignmentEngine;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.RequestClass;
import stonespring.model.RequestClassId;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.model.ZoneId;
import stonespring.proxy.routing.EndpointName;
import stonespring.proxy.routing.RequestClassIndex;
import stonespring.proxy.routing.Router;
import stonespring.proxy.routing.RouterSettings;
import stonespring.proxy.routing.TableSubscriber;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyHello;
import stonespring.state.ReportAggregator;

/**
 * A whole instance in virtual time, with proxies that follow what it publishes; rules are checked
 * after every step.
 */
final class EngineHostTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final long STEP = 500; // 0.1 ms
  private static final long GRACE = 3 * SECOND;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final RouterSettings ROUTING =
      new RouterSettings(
          List.of(
              new RouterSettings.Type("view", RetrySafety.IDEMPOTENT, 0),
              new RouterSettings.Type("extract", RetrySafety.NON_IDEMPOTENT, 0)),
          0,
          0,
          0,
          0,
          RouterSettings.Picks.WEIGHTED,
          AdmissionLimitKind.FRACTION);

  /** A connection that notes why it was ended. */
  private static final class Line implements ProxyMessageHandler.Origin {
    private String cause;

    @Override
    public void end(String why) {
      cause = why;
    }
  }

  private static final class Seat {
    private final String name;
    private final int zone;
    private Line line;
    private long stream;
    private long joinedAt;
    private TableSubscriber follower = new TableSubscriber();
    private Router router;
    private long emptySince = -1;
    private final ArrayDeque<Long> messages = new ArrayDeque<>();
    private String origin = "";
    private final List<int[]> marks = new ArrayList<>();

    Seat(String name, int zone) {
      this.name = name;
      this.zone = zone;
    }
  }

  private SplittableRandom random = new SplittableRandom(1);
  private final Settings settings = settings(2000, 30);
  private final List<Seat> seats = new ArrayList<>();
  private final TreeMap<String, EndpointRecord> list = new TreeMap<>();
  private final Map<String, Long> leftAt = new LinkedHashMap<>();
  private long now = 100 * SECOND;
  private long lastSequence;
  private EngineHost core;
  private int restarts;
  private int resyncs;
  private boolean advised;

  private static EngineHostTest run(long seed) {
    EngineHostTest run = new EngineHostTest();
    run.random = new SplittableRandom(seed);
    return run;
  }

  private static Settings settings(int backlog, int messages) {
    return new Settings(
        new Settings.Fleet(1, 2, 12, false),
        List.of(
            new RequestClass(RetrySafety.IDEMPOTENT, SECOND / 2, 3),
            new RequestClass(RetrySafety.NON_IDEMPOTENT, SECOND, 2)),
        new Settings.EndpointListRules(false, false),
        AdmissionLimitKind.FRACTION,
        new Settings.ChannelLimits(backlog, 10, messages, 10 * SECOND, 2000, false),
        new Settings.RoutingRules(5 * SECOND, 3, 0.1, 0.1, 3),
        new Settings.SlowStart(10 * SECOND, 0.2, 3),
        SECOND);
  }

  private void startCore() {
    restarts++;
    core =
        new EngineHost(
            settings,
            List.of("view", "extract"),
            HostLimits.USUAL,
            "e" + restarts,
            now << 20,
            advised
                ? new AdvisedEngine(
                    new AssignmentEngine(settings, random.nextLong(), now),
                    new WeightAdvisor(settings))
                : new AssignmentEngine(settings, random.nextLong(), now),
            new HostEnvironment() {
              @Override
              public void publish(List<KeyUpdate> updates) {
                updates.forEach(EngineHostTest.this::published);
              }

              @Override
              public void followList(boolean on) {}

              @Override
              public void fetchList() {}
            },
            now);
    core.listTold(
        new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, List.copyOf(list.values())), now);
    for (Seat seat : seats) {
      if (seat.line != null) {
        seat.line = null;
      }
    }
  }

  private void published(KeyUpdate update) {
    assertTrue(update.sequence() > lastSequence, "sequences rise strictly, over restarts too");
    lastSequence = update.sequence();
    for (Seat seat : seats) {
      String subtree = "/proxy/" + seat.name + "/";
      if (seat.line != null && update.key().startsWith(subtree)) {
        String key = update.key().substring(subtree.length());
        String value =
            update.value().length == 0 ? null : new String(update.value(), StandardCharsets.UTF_8);
        step(
            seat,
            seat.follower.update(
                key, value, value != null && key.equals("commit") ? commit(value) : null));
      }
    }
    if (update.key().equals("/assigner/status")) {
      JsonNode status = json(new String(update.value(), StandardCharsets.UTF_8));
      assertTrue(
          status.path("backlog_high").asInt() <= settings.channel().maxBacklogEntries(),
          () -> "rule 5: " + status);
      assertEquals(0, status.path("merged").asInt());
    }
  }

  private static JsonNode json(String text) {
    try {
      return JSON.readTree(text);
    } catch (java.io.IOException e) {
      throw new AssertionError(e);
    }
  }

  private static TableSubscriber.Commit commit(String value) {
    JsonNode node = json(value);
    return new TableSubscriber.Commit(
        node.path("origin").asText(),
        node.path("at").asInt(),
        node.path("keys").asInt(),
        node.path("mark").asInt(-1));
  }

  private void step(Seat seat, TableSubscriber.Step step) {
    if (step instanceof TableSubscriber.Step.Message message) {
      seat.router.apply(message);
      seat.origin = message.origin();
      seat.messages.add(now);
      seat.messages.removeIf(
          at -> now - at > settings.channel().messageWindow() || at < seat.joinedAt);
      assertTrue(
          seat.messages.size() <= settings.channel().maxMessagesPerProxy(),
          "rule 5: messages to " + seat.name);
      if (message.mark() >= 0) {
        seat.marks.add(new int[] {message.mark()});
      }
    } else if (step instanceof TableSubscriber.Step.Resync) {
      resyncs++;
      snapshot(seat);
    }
  }

  private void snapshot(Seat seat) {
    Map<String, String> keys = new LinkedHashMap<>();
    TableSubscriber.Commit commit = null;
    String subtree = "/proxy/" + seat.name + "/";
    for (KeyUpdate key : core.snapshot(subtree)) {
      String value = new String(key.value(), StandardCharsets.UTF_8);
      keys.put(key.key().substring(subtree.length()), value);
      commit = key.key().endsWith("/commit") ? commit(value) : commit;
    }
    step(seat, seat.follower.snapshot(keys, commit));
  }

  private void join(Seat seat) {
    boolean fresh = seat.router == null;
    if (fresh) {
      seat.router = new Router(ROUTING, random.nextLong());
      seat.router.standing(
          list.values().stream()
              .filter(l -> l.state() == EndpointRecord.State.READY)
              .limit(3)
              .map(l -> new EndpointName(l.endpoint().name()))
              .toList());
    }
    seat.line = new Line();
    seat.stream++;
    seat.joinedAt = now;
    seat.messages.clear();
    snapshot(seat);
    hello(seat);
  }

  private void hello(Seat seat) {
    core.hello(
        seat.name,
        new ProxyHello(
            "life-" + seat.name,
            seat.stream,
            new ZoneId(seat.zone),
            10,
            seat.router.fresh(),
            seat.router.named().stream().map(EndpointId::new).toList()),
        3 * SECOND,
        seat.line,
        now);
  }

  private void listed(String task, EndpointRecord.State state, long startedAt) {
    EndpointRecord listing =
        new EndpointRecord(
            new EndpointId(task), new ZoneId(Math.abs(task.hashCode()) % 2), 1, state, startedAt);
    if (state == EndpointRecord.State.REMOVED) {
      list.remove(task);
    } else {
      list.put(task, listing);
    }
    if (state == EndpointRecord.State.READY) {
      leftAt.remove(task);
    } else {
      leftAt.putIfAbsent(task, now);
    }
    core.listTold(new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(listing)), now);
  }

  private void report(Seat seat) {
    List<ReportAggregator.Met> met = new ArrayList<>();
    seat.router
        .weights(new RequestClassIndex(0))
        .forEach(
            (task, weight) -> {
              boolean up = list.containsKey(task);
              met.add(
                  new ReportAggregator.Met(
                      new EndpointId(task),
                      Math.round(10 * weight),
                      up ? 0 : Math.round(10 * weight),
                      800,
                      new LoadReport(0.5, 1, Double.NaN, Double.NaN, Double.NaN)));
            });
    core.reported(
        seat.name,
        SECOND,
        met,
        List.of(
            new ReportAggregator.Came(new RequestClassId(0), 8, 0),
            new ReportAggregator.Came(new RequestClassId(1), 2, 0)),
        seat.line);
  }

  private void check() {
    boolean warm =
        list.values().stream()
            .anyMatch(
                l ->
                    l.state() == EndpointRecord.State.READY
                        && now - l.startedAt() >= settings.slowStart().window());
    for (Seat seat : seats) {
      if (seat.line == null) {
        seat.emptySince = -1;
        continue;
      }
      for (int k = 0; k < 2; k++) {
        Map<String, Double> weights = seat.router.weights(new RequestClassIndex(k));
        for (String task : weights.keySet()) {
          long told = Math.max(leftAt.getOrDefault(task, Long.MAX_VALUE / 2), seat.joinedAt);
          assertTrue(
              now - told <= GRACE,
              () -> "rule 3: " + seat.name + " still sends to " + task + " at " + now);
        }
        if (k == 0) {
          seat.emptySince =
              weights.isEmpty() && warm ? seat.emptySince < 0 ? now : seat.emptySince : -1;
        }
      }
      assertTrue(
          seat.emptySince < 0
              || now - seat.emptySince <= settings.routing().maxTimeWithoutEndpoint(),
          () -> "rule 1: " + seat.name + " has no line at " + now);
    }
  }

  private void play(int steps) {
    for (int i = 0; i < 8; i++) {
      String task = "t" + i + "@h:" + (i + 1);
      list.put(
          task,
          new EndpointRecord(
              new EndpointId(task), new ZoneId(i % 2), 1, EndpointRecord.State.READY, 0));
    }
    for (int i = 0; i < 12; i++) {
      seats.add(new Seat("p" + i, i % 2));
    }
    startCore();
    for (int i = 0; i < steps; i++) {
      now += STEP;
      trouble();
      for (Seat seat : seats) {
        if (seat.line == null && random.nextInt(12) == 0) {
          join(seat);
        } else if (seat.line != null && (now / STEP + seat.name.hashCode()) % 20 == 0) {
          hello(seat);
          report(seat);
        }
        for (int[] mark : seat.marks) {
          if (seat.line != null) {
            core.answered(seat.name, seat.origin, mark[0], 100, seat.line, now);
          }
        }
        seat.marks.clear();
        assertTrue(seat.line == null || seat.line.cause == null, () -> "ended: " + seat.line.cause);
      }
      core.run(now);
      check();
    }
  }

  private void trouble() {
    int draw = random.nextInt(400);
    String task = "t" + random.nextInt(10) + "@h:" + (1 + random.nextInt(10));
    String known =
        list.isEmpty() ? task : new ArrayList<>(list.keySet()).get(random.nextInt(list.size()));
    if (draw < 8) {
      listed(task, EndpointRecord.State.READY, now);
    } else if (draw < 12 && list.size() > 3) {
      listed(
          known,
          random.nextBoolean() ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED,
          0);
    } else if (draw < 16) {
      Seat seat = seats.get(random.nextInt(seats.size()));
      if (seat.line != null) {
        Line line = seat.line;
        seat.line = null;
        core.closed(line, now);
      }
    } else if (draw < 17) {
      startCore();
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void rulesHoldAfterEveryStepOfASeededRun(long seed) {
    EngineHostTest run = run(seed);
    run.advised = seed > 6;
    run.play(3000);
    assertEquals(0, run.resyncs, "nothing is ever lost on the way in virtual time");
    assertTrue(run.restarts > 1);
  }

  @Test
  void aFollowerAndALateSnapshotHoldTheSame() {
    EngineHostTest run = run(9);
    run.play(1500);
    int compared = 0;
    for (Seat seat : run.seats) {
      Map<String, Double> followed =
          seat.line == null ? Map.of() : seat.router.weights(new RequestClassIndex(0));
      Router late = new Router(ROUTING, 1);
      Seat other = new Seat(seat.name, seat.zone);
      other.router = late;
      other.line = new Line();
      run.snapshot(other);
      if (!late.fresh() && !late.weights(new RequestClassIndex(0)).isEmpty() && seat.line != null) {
        assertEquals(followed, late.weights(new RequestClassIndex(0)));
        compared++;
      }
    }
    assertTrue(compared > 5, "compared " + compared);
  }

  private Seat one() {
    startCore();
    Seat seat = new Seat("p0", 0);
    seats.add(seat);
    return seat;
  }

  /** What only a faulty or hostile peer says ends that peer's connection and nothing else. */
  @Test
  void wordsOfStrangersEndTheirConnection() {
    list.put(
        "a@h:1",
        new EndpointRecord(
            new EndpointId("a@h:1"), new ZoneId(0), 1, EndpointRecord.State.READY, 0));
    Seat seat = one();
    Line stranger = new Line();
    core.reported("p0", SECOND, List.of(), List.of(), stranger);
    assertTrue(stranger.cause.contains("never joined"));
    join(seat);
    now += STEP;
    core.run(now);
    now += SECOND;
    core.run(now);
    Line thief = new Line();
    core.hello(
        "p0", new ProxyHello("another-life", 99, new ZoneId(0), 1, true, null), SECOND, thief, now);
    assertEquals("proxy p0 is here already", thief.cause);
    Line late = new Line();
    core.answered("p0", seat.origin, 1, 1, late, now);
    assertTrue(late.cause.contains("never joined on this connection"));
    core.answered("p0", "some-other-stream", 1, 1, seat.line, now);
    assertEquals(null, seat.line.cause, "an answer to an earlier stream's mark may be on its way");
    core.answered("p0", seat.origin, 64_999, 1, seat.line, now);
    assertEquals("answer: mark 64999 was never set for proxy p0", seat.line.cause);
  }

  /**
   * A half-open link hides that the old stream is dead: the same process on a newer stream takes
   * its place.
   */
  @Test
  void theSameProxyOnANewerStreamTakesItsOwnPlace() {
    list.put(
        "a@h:1",
        new EndpointRecord(
            new EndpointId("a@h:1"), new ZoneId(0), 1, EndpointRecord.State.READY, 0));
    Seat seat = one();
    join(seat);
    now += SECOND;
    core.run(now);
    Line old = seat.line;
    String before = seat.origin;
    join(seat);
    now += SECOND;
    core.run(now);
    assertTrue(old.cause.contains("newer stream"));
    assertEquals(1, core.proxiesHere());
    for (int i = 0; i < 100 && seat.origin.equals(before); i++) {
      now += STEP;
      hello(seat);
      report(seat);
      core.run(now);
    }
    assertTrue(!seat.origin.equals(before), "the new stream gets orders of its own");
    now += 4 * SECOND;
    core.run(now);
    assertEquals(0, core.proxiesHere(), "what is not renewed ends");
  }
}
