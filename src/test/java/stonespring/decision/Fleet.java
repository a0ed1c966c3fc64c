package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RetryPolicy;
import stonespring.model.Settings;
import stonespring.model.TimerToken;
import stonespring.model.ZoneId;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;

/**
 * Simulates a fleet around an engine: passes events to the engine, and applies its commands to the
 * state of the fleet, such as tables, exclusions, admission limits and messages.
 */
final class Fleet {
  static final long SECOND = DeciMillis.SECOND;
  static final EndpointRecord.State READY = EndpointRecord.State.READY;

  final Settings settings;

  /** The endpoint list by endpoint name; it has no removed endpoints. */
  final TreeMap<String, EndpointRecord> endpoints = new TreeMap<>();

  /** Requests per second that the proxies of other instances send, by endpoint. */
  final TreeMap<String, Double> otherInstancesLoad = new TreeMap<>();

  /** When endpoints last became draining or removed, by endpoint. */
  final TreeMap<String, Long> outOfServiceAt = new TreeMap<>();

  final TreeMap<Integer, FleetProxy> proxies = new TreeMap<>();

  /** Weights by endpoint, by the number of the route table. */
  final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();

  /** Events that the next step passes to the engine. */
  final List<Event> events = new ArrayList<>();

  /** Acknowledgements that proxies have not sent yet; a test decides when they do. */
  final List<Event.UpdateAcknowledged> acknowledgements = new ArrayList<>();

  /** Commands that the engine issued in the last step. */
  final List<Command> commands = new ArrayList<>();

  /** The retry policy last set, by the index of the request class. */
  final TreeMap<Integer, RetryPolicy> retryPolicies = new TreeMap<>();

  /** Number of request classes that proxies report, counted from the first. */
  int reportedClasses = 3;

  /** The admission limit last set, by the index of the request class. */
  final double[] limits = {1, 1, 1};

  /** The lowest of the admission limits. */
  double lowestLimit = 1;

  /** Mean latency of successful attempts that is reported, in DeciMillis. */
  long successLatency = 1000;

  /** The interval that a proxy's report of requests covers, in DeciMillis. */
  long reportSpan = 10 * SECOND;

  /** Factor by which the requests of all proxies differ from their usual rates. */
  double trafficFactor = 1;

  /** Factor by which the cost of a request differs from the usual, by endpoint; 1 if absent. */
  final Map<String, Double> relativeCost = new HashMap<>();

  long now = 100 * SECOND;

  /** The instants at which running timers fire, by token. */
  final TreeMap<Long, Long> timers = new TreeMap<>();

  /**
   * Entries that wait in the channel, which passes a third of the configured entries per second.
   */
  double backlog;

  /** Number of entries sent since the fleet was created. */
  double sentEntries;

  private long backlogAt = now;
  DecisionEngine engine;

  /** Whether engines that are started from now on are advised by the weight solver. */
  boolean withSolver;

  Fleet(Settings settings) {
    this.settings = settings;
  }

  /**
   * Creates a fleet of warm endpoints and of proxies with 10 requests per second each, spread over
   * two zones, and executes a first step.
   */
  static Fleet create(int endpointCount, int proxyCount) {
    return create(new FleetSettings().build(), endpointCount, proxyCount);
  }

  static Fleet create(Settings settings, int endpointCount, int proxyCount) {
    Fleet fleet = new Fleet(settings);
    for (int i = 0; i < endpointCount; i++) {
      fleet.endpoints.put("t" + i, endpointRecord("t" + i, i % 2, READY, 0));
    }
    fleet.startEngine(7);
    for (int p = 0; p < proxyCount; p++) {
      fleet.connect(p, p % 2, 10, true);
    }
    fleet.step(1);
    return fleet;
  }

  /**
   * Creates a fleet whose proxies have equal traffic, except for the first one. The proxies connect
   * in the next step.
   */
  static Fleet createWithLargeProxy(
      int endpointCount, int proxyCount, double largeRate, double smallRate) {
    Fleet fleet = create(endpointCount, 0);
    for (int p = 0; p < proxyCount; p++) {
      fleet.connect(p, p % 2, p == 0 ? largeRate : smallRate, true);
    }
    return fleet;
  }

  static EndpointRecord endpointRecord(
      String name, int zone, EndpointRecord.State state, long startedAt) {
    return new EndpointRecord(new EndpointId(name), new ZoneId(zone), 1, state, startedAt);
  }

  /** Starts an engine that will receive the endpoint list as cached, and that knows no proxy. */
  void startEngine(long seed) {
    engine = new AssignmentEngine(settings, seed, now);
    if (withSolver) {
      engine = new AdvisedEngine(engine, new WeightAdvisor(settings));
    }
    tables.clear();
    acknowledgements.clear();
    retryPolicies.clear();
    timers.clear();
    lowestLimit = 1;
    Arrays.fill(limits, 1);
    events.add(
        new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, List.copyOf(endpoints.values())));
  }

  /**
   * Replaces the engine as if its process had restarted: its tables are lost, and the proxies
   * reconnect with the tables that they hold.
   */
  void restartEngine(long seed) {
    startEngine(seed);
    for (FleetProxy proxy : proxies.values()) {
      if (proxy.connected) {
        connect(proxy.number, proxy.zone, proxy.requestRate, false);
      }
    }
  }

  /** Changes the endpoint list, and queues the change for the next step. */
  void updateEndpoint(String name, int zone, EndpointRecord.State state, long startedAt) {
    EndpointRecord endpoint = endpointRecord(name, zone, state, startedAt);
    boolean wasReady = !endpoints.containsKey(name) || endpoints.get(name).state() == READY;
    if (state != READY && wasReady) {
      outOfServiceAt.put(name, now);
    }
    if (state == EndpointRecord.State.REMOVED) {
      endpoints.remove(name);
    } else {
      endpoints.put(name, endpoint);
    }
    events.add(new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(endpoint)));
  }

  /** Connects a proxy. A proxy that was connected before keeps its zone and request rate. */
  void connect(int number, int zone, double requestRate, boolean withoutTables) {
    FleetProxy proxy = proxies.computeIfAbsent(number, n -> new FleetProxy(n, zone, requestRate));
    proxy.connect(withoutTables);
    events.add(
        new Event.ProxyConnected(
            new ProxyId(number), new ZoneId(proxy.zone), proxy.requestRate, withoutTables));
  }

  /**
   * Connects one of the first proxies, drawn at random, unless it is connected. Each keeps its
   * tables or not, but starts without tables the first time.
   */
  void connectRandomProxy(SplittableRandom random, int proxyCount) {
    int number = random.nextInt(proxyCount);
    FleetProxy proxy = proxies.get(number);
    if (proxy == null || !proxy.connected) {
      connect(number, number % 2, 10, proxy == null || random.nextBoolean());
    }
  }

  /** Disconnects one of the first proxies, drawn at random, if it is connected. */
  void disconnectRandomProxy(SplittableRandom random, int proxyCount) {
    FleetProxy proxy = proxies.get(random.nextInt(proxyCount));
    if (proxy != null && proxy.connected) {
      disconnect(proxy.number);
    }
  }

  void disconnect(int number) {
    proxies.get(number).connected = false;
    acknowledgements.removeIf(a -> a.proxy().number() == number);
    events.add(new Event.ProxyDisconnected(new ProxyId(number)));
  }

  /**
   * Adds the reports of an interval, in which all requests of proxies with known tables were
   * attempted according to these tables.
   *
   * @param utilizationPerRequestRate utilization of an endpoint per request per second
   * @param failureShares shares of attempts that failed, by endpoint; 0 if absent
   */
  void report(double utilizationPerRequestRate, Map<String, Double> failureShares) {
    TreeMap<String, Double> rateByZoneAndEndpoint = new TreeMap<>();
    for (FleetProxy proxy : proxies.values()) {
      if (proxy.connected) {
        proxy
            .shares()
            .forEach(
                (endpoint, share) ->
                    rateByZoneAndEndpoint.merge(
                        proxy.zone + endpoint, proxy.requestRate * share, Double::sum));
        reportRequests(proxy);
      }
    }
    rateByZoneAndEndpoint.forEach(
        (key, rate) -> {
          String endpoint = key.substring(1);
          double load =
              otherInstancesLoad.getOrDefault(endpoint, 0.0)
                  + rateByZoneAndEndpoint.getOrDefault("0" + endpoint, 0.0)
                  + rateByZoneAndEndpoint.getOrDefault("1" + endpoint, 0.0);
          double cost = relativeCost.getOrDefault(endpoint, 1.0);
          long attempts = Math.round(rate * 10);
          events.add(
              new Event.EndpointOutcomes(
                  new EndpointId(endpoint),
                  new ZoneId(key.charAt(0) - '0'),
                  attempts,
                  Math.round(attempts * failureShares.getOrDefault(endpoint, 0.0)),
                  10 * SECOND,
                  successLatency,
                  utilization(Math.min(1, load * utilizationPerRequestRate * cost))));
        });
  }

  private void reportRequests(FleetProxy proxy) {
    for (int k = 0; k < reportedClasses; k++) {
      long requests = Math.round(trafficFactor * proxy.requestRate * reportSpan / SECOND / 3);
      events.add(
          new Event.ProxyRequestRate(
              new ProxyId(proxy.number), new RequestClassId(k), requests, 0, reportSpan));
    }
  }

  private static LoadReport utilization(double utilization) {
    return new LoadReport(utilization, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
  }

  /** Adds a report about one endpoint by the proxies of the first zone, which covers one second. */
  void reportOutcomes(String endpoint, long attempts, long failures) {
    events.add(
        new Event.EndpointOutcomes(
            new EndpointId(endpoint),
            new ZoneId(0),
            attempts,
            failures,
            SECOND,
            failures < attempts ? 1000 : 0,
            LoadReport.NONE));
  }

  /**
   * Runs rounds, each of which lasts a second. A round consists of reports, a step, the
   * acknowledgement of all messages, and a check of the invariants.
   */
  void runRounds(int count, double utilizationPerRequestRate, Map<String, Double> failureShares) {
    for (int i = 0; i < count; i++) {
      report(utilizationPerRequestRate, failureShares);
      step(SECOND);
      acknowledgeAll();
      checkInvariants("round " + i + " of " + count + ", at " + now + " deci-milliseconds");
    }
  }

  /** Queues the acknowledgements of all messages for the next step. */
  void acknowledgeAll() {
    events.addAll(acknowledgements);
    acknowledgements.clear();
  }

  /**
   * Fails the test if an invariant is violated.
   *
   * @param when the point of the test, for the failure message
   */
  void checkInvariants(String when) {
    FleetInvariants.check(this, when);
  }

  /** The mean admission limit over all request classes. */
  double meanLimit() {
    return Arrays.stream(limits).average().getAsDouble();
  }

  /** The shares of a proxy, connected or not, as defined by {@link FleetProxy#shares}. */
  TreeMap<String, Double> shares(int proxy) {
    return proxies.get(proxy).shares();
  }

  /** Requests per second that all connected proxies send to an endpoint by their tables. */
  double load(String endpoint) {
    return proxies.values().stream()
        .filter(p -> p.connected)
        .mapToDouble(p -> p.requestRate * p.shares().getOrDefault(endpoint, 0.0))
        .sum();
  }

  /** The minimum share of its full capacity that an endpoint has now; 1 once it is warm. */
  double warmUpFraction(EndpointRecord endpoint) {
    return settings.slowStart().warmUpFraction(endpoint.startedAt(), now);
  }

  /** The commands of one kind that the engine issued in the last step. */
  <T extends Command> List<T> commandsOf(Class<T> kind) {
    return commands.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  /**
   * Advances the clock, passes all events to the engine, and applies the commands that it issues.
   *
   * @param duration DeciMillis
   * @return the commands; none without events
   */
  List<Command> step(long duration) {
    now += duration;
    timers
        .entrySet()
        .removeIf(
            e ->
                e.getValue() <= now
                    && events.add(new Event.TimerFired(new TimerToken(e.getKey()))));
    List<Event> batch = new ArrayList<>(events);
    events.clear();
    batch.forEach(e -> engine.handle(now, e));
    commands.clear();
    if (!batch.isEmpty()) {
      commands.addAll(engine.endBatch(now));
      applyCommands();
    }
    return commands;
  }

  /** Applies the commands of the last step to the fleet, and counts their channel entries. */
  private void applyCommands() {
    TreeMap<Integer, Integer> entries = new TreeMap<>();
    for (Command command : commands) {
      if (command instanceof Command.SetRoute c) {
        setRoute(c, entries);
      } else if (command instanceof Command.AssignRouteTable c) {
        assignTable(c, entries);
      } else if (command instanceof Command.ExcludeEndpoint c) {
        excludeEndpoint(c, entries);
      } else if (command instanceof Command.LimitAdmission c) {
        limitAdmission(c, entries);
      } else if (command instanceof Command.StartTimer c) {
        timers.put(c.token().value(), now + c.delay());
      } else if (command instanceof Command.RequestAck c) {
        for (int proxy : entries.keySet()) {
          acknowledgements.add(
              new Event.UpdateAcknowledged(
                  new ProxyId(proxy), new AckId(c.ack().number()), SECOND / 3));
        }
      }
    }
    chargeEntries(entries);
  }

  private void setRoute(Command.SetRoute command, TreeMap<Integer, Integer> entries) {
    TreeMap<String, Double> table =
        tables.computeIfAbsent(command.table().number(), n -> new TreeMap<>());
    if (command.weight() > 0) {
      table.put(command.endpoint().name(), command.weight());
    } else {
      table.remove(command.endpoint().name());
    }
    for (FleetProxy proxy : proxies.values()) {
      if (proxy.connected && proxy.table == table) {
        entries.merge(proxy.number, 1, Integer::sum);
        allowRoutesOnPlatform(proxy);
      }
    }
  }

  /**
   * On the platform, whatever a table names is allowed explicitly, as an earlier instance may have
   * excluded it.
   */
  private void allowRoutesOnPlatform(FleetProxy proxy) {
    if (settings.channel().proxyTablesUnknown()) {
      proxy.excludedEndpoints.removeAll(proxy.table.keySet());
    }
  }

  private void assignTable(Command.AssignRouteTable command, TreeMap<Integer, Integer> entries) {
    FleetProxy proxy = proxies.get(command.proxy().number());
    assertTrue(
        proxy.connected,
        "the engine assigned a table to proxy " + proxy.number + ", which is not connected");
    proxy.table = tables.computeIfAbsent(command.table().number(), n -> new TreeMap<>());
    boolean mayExclude = settings.channel().proxyTablesUnknown() && !proxy.withoutTables;
    int allowedAgain = mayExclude ? proxy.table.size() : 0;
    entries.merge(proxy.number, proxy.table.size() + 1 + allowedAgain, Integer::sum);
    allowRoutesOnPlatform(proxy);
  }

  private void excludeEndpoint(Command.ExcludeEndpoint command, TreeMap<Integer, Integer> entries) {
    for (FleetProxy proxy : proxies.values()) {
      boolean mayName =
          proxy.table == null
              ? settings.channel().proxyTablesUnknown()
                  || entries.getOrDefault(proxy.number, 0)
                      < settings.routing().bootstrapRouteCount()
              : proxy.table.containsKey(command.endpoint().name());
      if (proxy.connected && mayName) {
        entries.merge(proxy.number, 1, Integer::sum);
      }
      if (proxy.connected && command.excluded()) {
        proxy.excludedEndpoints.add(command.endpoint().name());
      } else if (proxy.connected) {
        proxy.excludedEndpoints.remove(command.endpoint().name());
      }
    }
  }

  private void limitAdmission(Command.LimitAdmission command, TreeMap<Integer, Integer> entries) {
    assertTrue(command.limit() >= 0, "expected a limit of 0 or more, found " + command.limit());
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      if (command.requestClassMask() == 0 || (command.requestClassMask() >> k & 1) == 1) {
        retryPolicies.put(k, command.retryPolicy());
        limits[k] = command.limit();
      }
    }
    lowestLimit = Arrays.stream(limits).min().getAsDouble();
    proxies.values().stream()
        .filter(p -> p.connected)
        .forEach(p -> entries.merge(p.number, 1, Integer::sum));
  }

  /** Adds the entries of each proxy's message, with its overhead, to the channel's backlog. */
  private void chargeEntries(TreeMap<Integer, Integer> entries) {
    double entriesPerSecond = settings.channel().entriesPerSecond() / 3;
    backlog = Math.max(0, backlog - (now - backlogAt) * entriesPerSecond / SECOND);
    backlogAt = now;
    entries.forEach(
        (number, count) -> {
          int message = count + settings.channel().messageOverheadEntries() + 1;
          backlog += message;
          sentEntries += message;
          proxies.get(number).messagesSentAt.add(now);
        });
  }
}
