package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import stonespring.decision.AssignmentEngine;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.RequestClass;
import stonespring.model.RequestClassId;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.model.ZoneId;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyReport;

/**
 * A host with proxies in virtual time, driven by one random seed. {@link #run} checks the host's
 * guarantees to proxies after each step.
 */
final class HostSimulation {
  static final long SECOND = DeciMillis.SECOND;

  /** Duration of one step, in deci-milliseconds. */
  static final long STEP_DECI_MILLIS = 500;

  static final long SESSION_TIMEOUT_DECI_MILLIS = 3 * SECOND;

  /** Time within which a proxy must stop sending to an endpoint that drains or is removed. */
  private static final long MAX_REMOVAL_DELAY_DECI_MILLIS = 3 * SECOND;

  private static final int ZONES = 2;
  private static final int ENDPOINTS = 8;
  private static final int PROXY_COUNT = 12;
  private static final int REQUEST_CLASSES = 2;
  private static final RequestClassId VIEW = new RequestClassId(0);
  private static final RequestClassId EXTRACT = new RequestClassId(1);

  private final SplittableRandom random;
  private final boolean withWeightAdvisor;
  private final Settings settings = settings();
  private final List<SimulatedProxy> proxies = new ArrayList<>();
  private final TreeMap<String, EndpointRecord> listed = new TreeMap<>();
  private final Map<String, Long> notReadySince = new LinkedHashMap<>();
  private final Map<SimulatedProxy, Long> withoutRouteSince = new HashMap<>();
  private long now = 100 * SECOND;
  private long lastSequence;
  private EngineHost host;
  private int hostStartCount;

  /**
   * Creates a simulation that has no host yet.
   *
   * @param withWeightAdvisor whether the solver advises the engine on weights
   */
  HostSimulation(long seed, boolean withWeightAdvisor) {
    this.random = new SplittableRandom(seed);
    this.withWeightAdvisor = withWeightAdvisor;
  }

  private static Settings settings() {
    return new Settings(
        new Settings.Fleet(1, ZONES, PROXY_COUNT, false),
        List.of(
            new RequestClass(RetrySafety.IDEMPOTENT, SECOND / 2, 3),
            new RequestClass(RetrySafety.NON_IDEMPOTENT, SECOND, 2)),
        new Settings.EndpointListRules(
            false, false, Settings.EndpointListRules.UNLIMITED_NOTIFICATION_DELAY),
        AdmissionLimitKind.FRACTION,
        new Settings.ChannelLimits(2000, 10, 30, 10 * SECOND, 2000, false),
        new Settings.RoutingRules(5 * SECOND, 3, 0.1, 0.1, 3),
        new Settings.SlowStart(10 * SECOND, 0.2, 3),
        SECOND);
  }

  EngineHost host() {
    return host;
  }

  long now() {
    return now;
  }

  List<SimulatedProxy> proxies() {
    return proxies;
  }

  /** Returns how often a host has been started. */
  int hostStartCount() {
    return hostStartCount;
  }

  /** Returns the number of updates that the proxies have lost. */
  int lostUpdateCount() {
    return proxies.stream().mapToInt(SimulatedProxy::lostUpdateCount).sum();
  }

  /** Starts a host that replaces the previous one; all proxies lose their connections. */
  void startHost() {
    hostStartCount++;
    host =
        new EngineHost(
            settings,
            List.of("view", "extract"),
            HostLimits.DEFAULT,
            "e" + hostStartCount,
            now << 20,
            createEngine(),
            new Environment(),
            now);
    host.handleEndpointListUpdate(
        new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, List.copyOf(listed.values())),
        now);
    proxies.forEach(SimulatedProxy::disconnect);
  }

  private DecisionEngine createEngine() {
    AssignmentEngine engine = new AssignmentEngine(settings, random.nextLong(), now);
    return withWeightAdvisor ? new AdvisedEngine(engine, new WeightAdvisor(settings)) : engine;
  }

  private final class Environment implements HostEnvironment {
    @Override
    public void publish(List<KeyUpdate> updates) {
      updates.forEach(HostSimulation.this::deliverUpdate);
    }

    @Override
    public void watchEndpoints(boolean enabled) {}

    @Override
    public void fetchEndpoints() {}
  }

  private void deliverUpdate(KeyUpdate update) {
    assertTrue(
        update.sequence() > lastSequence,
        "sequence numbers increase strictly, also across restarts");
    lastSequence = update.sequence();
    for (SimulatedProxy proxy : proxies) {
      proxy.receiveUpdate(update, host, now);
    }
    if (update.key().equals("/assigner/status")) {
      JsonNode status =
          SimulatedProxy.parseJson(new String(update.value(), StandardCharsets.UTF_8));
      assertTrue(
          status.path("backlog_high").asInt() <= settings.channel().maxBacklogEntries(),
          () -> "the backlog exceeds the limit of the channel: " + status);
      assertEquals(0, status.path("merged").asInt());
    }
  }

  /** Adds an endpoint to the list that the next host starts with. */
  void addEndpoint(String name, int zone) {
    EndpointId endpoint = new EndpointId(name);
    listed.put(
        name, new EndpointRecord(endpoint, new ZoneId(zone), 1, EndpointRecord.State.READY, 0));
  }

  SimulatedProxy addProxy(String name, int zone) {
    SimulatedProxy proxy = createProxy(name, zone);
    proxies.add(proxy);
    return proxy;
  }

  /** Creates a proxy that the simulation does not connect or update. */
  SimulatedProxy createProxy(String name, int zone) {
    return new SimulatedProxy(name, zone, settings.channel());
  }

  /** Advances the time and runs the due work of the host. */
  void advance(long duration) {
    now += duration;
    host.runDue(now);
  }

  /** Advances the time without running the host. */
  void advanceClock(long duration) {
    now += duration;
  }

  void connect(SimulatedProxy proxy) {
    if (!proxy.isStarted()) {
      long seed = random.nextLong();
      proxy.start(
          seed,
          listed.values().stream()
              .filter(endpoint -> endpoint.state() == EndpointRecord.State.READY)
              .limit(settings.routing().bootstrapRouteCount())
              .map(EndpointRecord::endpoint)
              .toList());
    }
    proxy.connect(host, now);
  }

  /**
   * Sends a report as if requests were distributed by the proxy's weights; attempts to removed
   * endpoints fail.
   */
  void report(SimulatedProxy proxy) {
    List<ProxyReport.EndpointObservation> observations = new ArrayList<>();
    proxy
        .router()
        .weights(VIEW)
        .forEach(
            (endpoint, weight) -> observations.add(observation(endpoint, Math.round(10 * weight))));
    List<ProxyReport.RequestCount> requests =
        List.of(
            new ProxyReport.RequestCount(VIEW, 8, 0), new ProxyReport.RequestCount(EXTRACT, 2, 0));
    ProxyReport report = new ProxyReport(SECOND, observations, requests);
    host.handleReport(proxy.name(), report, proxy.connection());
  }

  private ProxyReport.EndpointObservation observation(String endpoint, long attempts) {
    return new ProxyReport.EndpointObservation(
        new EndpointId(endpoint),
        attempts,
        listed.containsKey(endpoint) ? 0 : attempts,
        800,
        new LoadReport(0.5, 1, Double.NaN, Double.NaN, Double.NaN));
  }

  /**
   * Simulates a fleet with random host restarts, changes of the endpoint list and lost connections,
   * and checks the invariants after each step.
   */
  void run(int steps) {
    for (int i = 0; i < ENDPOINTS; i++) {
      addEndpoint("t" + i + "@h:" + (i + 1), i % ZONES);
    }
    for (int i = 0; i < PROXY_COUNT; i++) {
      addProxy("p" + i, i % ZONES);
    }
    startHost();
    for (int i = 0; i < steps; i++) {
      now += STEP_DECI_MILLIS;
      injectRandomEvent();
      proxies.forEach(this::stepProxy);
      host.runDue(now);
      checkInvariants();
    }
  }

  private void stepProxy(SimulatedProxy proxy) {
    if (!proxy.isConnected() && random.nextInt(12) == 0) {
      connect(proxy);
    } else if (proxy.isConnected()
        && (now / STEP_DECI_MILLIS + proxy.name().hashCode()) % 20 == 0) {
      proxy.sendHello(host, now);
      report(proxy);
    }
    proxy.acknowledge(host, now);
    if (proxy.isConnected()) {
      assertNull(proxy.connection().closeReason(), "the host closed the connection");
    }
  }

  private void injectRandomEvent() {
    int draw = random.nextInt(400);
    String name = "t" + random.nextInt(10) + "@h:" + (1 + random.nextInt(10));
    String listedName =
        listed.isEmpty()
            ? name
            : new ArrayList<>(listed.keySet()).get(random.nextInt(listed.size()));
    if (draw < 8) {
      changeEndpoint(name, EndpointRecord.State.READY, now);
    } else if (draw < 12 && listed.size() > 3) {
      boolean drains = random.nextBoolean();
      changeEndpoint(
          listedName, drains ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED, 0);
    } else if (draw < 16) {
      SimulatedProxy proxy = proxies.get(random.nextInt(proxies.size()));
      if (proxy.isConnected()) {
        host.handleConnectionClosed(proxy.disconnect(), now);
      }
    } else if (draw < 17) {
      startHost();
    }
  }

  private void changeEndpoint(String name, EndpointRecord.State state, long startedAt) {
    ZoneId zone = new ZoneId(Math.abs(name.hashCode()) % ZONES);
    EndpointRecord changed = new EndpointRecord(new EndpointId(name), zone, 1, state, startedAt);
    if (state == EndpointRecord.State.REMOVED) {
      listed.remove(name);
    } else {
      listed.put(name, changed);
    }
    if (state == EndpointRecord.State.READY) {
      notReadySince.remove(name);
    } else {
      notReadySince.putIfAbsent(name, now);
    }
    host.handleEndpointListUpdate(
        new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(changed)), now);
  }

  private void checkInvariants() {
    boolean anyWarmedUp = listed.values().stream().anyMatch(this::isWarmedUp);
    for (SimulatedProxy proxy : proxies) {
      if (!proxy.isConnected()) {
        withoutRouteSince.remove(proxy);
        continue;
      }
      for (int requestClass = 0; requestClass < REQUEST_CLASSES; requestClass++) {
        checkRemovedEndpoints(proxy, new RequestClassId(requestClass));
      }
      if (anyWarmedUp && proxy.router().weights(VIEW).isEmpty()) {
        withoutRouteSince.putIfAbsent(proxy, now);
      } else {
        withoutRouteSince.remove(proxy);
      }
      long since = withoutRouteSince.getOrDefault(proxy, now);
      assertTrue(
          now - since <= settings.routing().maxTimeWithoutEndpoint(),
          () -> "proxy " + proxy.name() + " has been without a route for too long at " + now);
    }
  }

  private boolean isWarmedUp(EndpointRecord endpoint) {
    return endpoint.state() == EndpointRecord.State.READY
        && now - endpoint.startedAt() >= settings.slowStart().window();
  }

  private void checkRemovedEndpoints(SimulatedProxy proxy, RequestClassId requestClass) {
    for (String endpoint : proxy.router().weights(requestClass).keySet()) {
      long endpointNotReadySince = notReadySince.getOrDefault(endpoint, Long.MAX_VALUE / 2);
      long notifiedAt = Math.max(endpointNotReadySince, proxy.connectedAt());
      assertTrue(
          now - notifiedAt <= MAX_REMOVAL_DELAY_DECI_MILLIS,
          () ->
              "proxy "
                  + proxy.name()
                  + " still sends to removed endpoint "
                  + endpoint
                  + " at "
                  + now);
    }
  }
}
