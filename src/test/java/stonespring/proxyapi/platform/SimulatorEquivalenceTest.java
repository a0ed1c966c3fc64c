package stonespring.proxyapi.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RetryPolicy;
import stonespring.model.RouteTableId;
import stonespring.proxyapi.NameTable;
import stonespring.state.ProxyUpdate;
import stonespring.state.RouteTables;

/**
 * Tests that the same commands give a proxy the same routes, limits and exclusions in the simulator
 * and on the platform. Both proxies are models written from the documentation of the two protocols,
 * and share no code with the tested classes.
 */
final class SimulatorEquivalenceTest {
  private static final List<String> REQUEST_CLASSES = List.of("look", "buy", "pay");
  private static final int PROXY_COUNT = 4;
  private static final PlatformMessageCodec CODEC =
      new PlatformMessageCodec(new NameTable(List.of(), REQUEST_CLASSES), PROXY_COUNT);
  private static final int ENDPOINTS = 7;

  private record Limit(double share, int retryCode) {}

  /** The weights of the usable endpoints and the admission limit, for each request class. */
  private record RoutingView(List<TreeMap<String, Double>> weights, List<Limit> limits) {}

  /**
   * The proxies of the simulator, as its documentation describes them: tables are numbered,
   * exclusions apply to all proxies of the instance, and a limit applies to one table or to all
   * tables.
   */
  private static final class SimulatedProxies {
    final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();
    final TreeMap<Integer, Limit[]> limits = new TreeMap<>();
    final Limit[] limitsForAllTables = new Limit[REQUEST_CLASSES.size()];
    final Set<String> excluded = new HashSet<>();
    final Map<Integer, Integer[]> assigned = new LinkedHashMap<>();

    void apply(Command command) {
      if (command instanceof Command.SetRoute route) {
        TreeMap<String, Double> table =
            tables.computeIfAbsent(route.table().number(), t -> new TreeMap<>());
        table.remove(route.endpoint().name());
        if (route.weight() > 0) {
          table.put(route.endpoint().name(), route.weight());
        }
      } else if (command instanceof Command.ClearRouteTable clear) {
        tables.remove(clear.table().number());
        limits.remove(clear.table().number());
      } else if (command instanceof Command.AssignRouteTable assignment) {
        Integer[] tablesOfProxy = assigned.get(assignment.proxy().number());
        for (int k = 0; tablesOfProxy != null && k < tablesOfProxy.length; k++) {
          if (includesClass(assignment.requestClassMask(), k)) {
            tablesOfProxy[k] = assignment.table().number();
          }
        }
      } else if (command instanceof Command.ExcludeEndpoint exclusion) {
        if (exclusion.excluded()) {
          excluded.add(exclusion.endpoint().name());
        } else {
          excluded.remove(exclusion.endpoint().name());
        }
      } else if (command instanceof Command.LimitAdmission limit) {
        Limit[] limitsOfTable =
            limit.table().equals(Command.ALL_TABLES)
                ? limitsForAllTables
                : limits.computeIfAbsent(
                    limit.table().number(), t -> new Limit[REQUEST_CLASSES.size()]);
        for (int k = 0; k < limitsOfTable.length; k++) {
          if (includesClass(limit.requestClassMask(), k)) {
            limitsOfTable[k] = new Limit(limit.limit(), limit.retryPolicy().ordinal());
          }
        }
      }
    }

    private static boolean includesClass(int requestClassMask, int requestClass) {
      return requestClassMask == 0 || (requestClassMask >> requestClass & 1) == 1;
    }

    RoutingView view(int proxy) {
      List<TreeMap<String, Double>> weightsByClass = new ArrayList<>();
      List<Limit> limitsByClass = new ArrayList<>();
      for (int k = 0; k < REQUEST_CLASSES.size(); k++) {
        Integer table = assigned.get(proxy)[k];
        if (table == null) { // the proxy uses its previous table, whose content is unknown
          weightsByClass.add(null);
          limitsByClass.add(null);
          continue;
        }
        TreeMap<String, Double> usable = new TreeMap<>(tables.getOrDefault(table, new TreeMap<>()));
        usable.keySet().removeAll(excluded);
        weightsByClass.add(usable);
        Limit tableLimit = limits.containsKey(table) ? limits.get(table)[k] : null;
        limitsByClass.add(
            tableLimit == null
                ? limitsForAllTables[k]
                : limitsForAllTables[k] == null
                    ? tableLimit
                    : new Limit(
                        Math.min(tableLimit.share, limitsForAllTables[k].share),
                        tableLimit.retryCode));
      }
      return new RoutingView(weightsByClass, limitsByClass);
    }
  }

  /**
   * A proxy of the platform, as its documentation describes it: each request class has a table, and
   * exclusions remain when a session ends.
   */
  private static final class PlatformProxy {
    final List<TreeMap<String, Double>> weights = new ArrayList<>();
    final Limit[] limits = new Limit[REQUEST_CLASSES.size()];
    final Set<String> excluded = new TreeSet<>();
    int entries;

    PlatformProxy() {
      for (int k = 0; k < REQUEST_CLASSES.size(); k++) {
        weights.add(new TreeMap<>());
      }
    }

    void apply(List<String> lines, boolean ackRequested) {
      entries = 0;
      for (int i = 0; i < lines.size(); i++) {
        Map<String, String> fields = new LinkedHashMap<>();
        String[] split = lines.get(i).split(" ");
        assertEquals("CONFIG", split[0]);
        for (int w = 1; w < split.length; w++) {
          String[] pair = split[w].split("=", 2);
          assertEquals(null, fields.put(pair[0], pair[1]), lines.get(i));
        }
        assertEquals(
            i < lines.size() - 1,
            "1".equals(fields.remove("part")),
            "every line except the last is marked as a part");
        applyPart(fields);
      }
      assertTrue(lines.size() <= 64);
      assertEquals(
          ackRequested,
          lines.get(lines.size() - 1).contains(" stamp="),
          "the acknowledgement is requested in the last part");
    }

    private void applyPart(Map<String, String> fields) {
      List<Integer> classes = new ArrayList<>();
      for (int k = 0; k < REQUEST_CLASSES.size(); k++) {
        if (!fields.containsKey("for")
            || List.of(fields.get("for").split("\\+")).contains(REQUEST_CLASSES.get(k))) {
          classes.add(k);
        }
      }
      assertTrue(!classes.isEmpty());
      assertEquals(fields.containsKey("gate"), fields.containsKey("again"));
      for (Map.Entry<String, String> field : fields.entrySet()) {
        String value = field.getValue();
        switch (field.getKey()) {
          case "for", "again" -> {}
          case "replace" -> {
            entries++;
            classes.forEach(k -> weights.get(k).clear());
            classes.forEach(k -> limits[k] = null);
          }
          case "rows" -> {
            for (String row : value.split(",")) {
              entries++;
              String[] pair = row.split(":");
              assertTrue(pair[1].matches("[0-9]+(\\.[0-9]+)?"), row);
              for (int k : classes) {
                weights.get(k).remove(pair[0]);
                if (Double.parseDouble(pair[1]) > 0) {
                  weights.get(k).put(pair[0], Double.parseDouble(pair[1]));
                }
              }
            }
          }
          case "gate" -> {
            entries++;
            classes.forEach(
                k ->
                    limits[k] =
                        new Limit(
                            Double.parseDouble(value), Integer.parseInt(fields.get("again"))));
          }
          case "drop" -> {
            excluded.addAll(List.of(value.split(",")));
            entries += value.split(",").length;
          }
          case "undrop" -> {
            excluded.removeAll(List.of(value.split(",")));
            entries += value.split(",").length;
          }
          case "stamp" -> entries++;
          default -> throw new AssertionError(field);
        }
      }
    }

    RoutingView view() {
      List<TreeMap<String, Double>> usableByClass = new ArrayList<>();
      for (TreeMap<String, Double> classWeights : weights) {
        TreeMap<String, Double> usable = new TreeMap<>(classWeights);
        usable.keySet().removeAll(excluded);
        usableByClass.add(usable);
      }
      return new RoutingView(usableByClass, Arrays.asList(limits.clone()));
    }
  }

  private static double randomWeight(SplittableRandom random) {
    return random.nextInt(1, 2000) / 1000.0;
  }

  private static Command randomCommand(SplittableRandom random) {
    RouteTableId table = new RouteTableId(random.nextInt(PROXY_COUNT));
    EndpointId endpoint = new EndpointId("s-" + random.nextInt(ENDPOINTS));
    int requestClassMask = random.nextInt(3) == 0 ? random.nextInt(1, 8) : 0;
    return switch (random.nextInt(9)) {
      case 0, 1, 2 ->
          new Command.SetRoute(table, endpoint, random.nextInt(4) == 0 ? 0 : randomWeight(random));
      case 3 ->
          random.nextInt(6) == 0
              ? new Command.ClearRouteTable(table)
              : new Command.SetRoute(table, endpoint, 0.001);
      case 4, 5 ->
          new Command.AssignRouteTable(
              table, new ProxyId(random.nextInt(PROXY_COUNT)), requestClassMask);
      case 6 -> new Command.ExcludeEndpoint(endpoint, random.nextBoolean());
      default ->
          new Command.LimitAdmission(
              random.nextBoolean() ? Command.ALL_TABLES : table,
              requestClassMask,
              RetryPolicy.values()[random.nextInt(4)],
              random.nextInt(5) / 4.0);
    };
  }

  /** Applies the same random connections and commands to both kinds of proxies. */
  private static final class Run {
    private final long seed;
    private final SplittableRandom random;
    private final SimulatedProxies simulated = new SimulatedProxies();
    private final RouteTables tables = new RouteTables(REQUEST_CLASSES.size());
    private final Map<Integer, PlatformProxy> proxies = new TreeMap<>();
    private final Map<Integer, ProxyRouteState> routeStates = new TreeMap<>();
    private final Map<Integer, Set<EndpointId>> excluded = new TreeMap<>();

    Run(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
    }

    void step(int step) {
      int number = random.nextInt(PROXY_COUNT);
      if (!routeStates.containsKey(number) || random.nextInt(40) == 0) {
        connect(number);
      }
      List<Command> commands = new ArrayList<>();
      for (int i = random.nextInt(6); i >= 0; i--) {
        commands.add(randomCommand(random));
      }
      boolean ackRequested = random.nextBoolean();
      if (ackRequested) {
        commands.add(new Command.RequestAck(new AckId(step), false));
      }
      commands.forEach(simulated::apply);
      for (ProxyUpdate update : tables.apply(commands, 1)) {
        send(update, ackRequested);
      }
      for (int proxy : routeStates.keySet()) {
        assertEqualViews(
            proxy, "seed " + seed + ", step " + step + ", proxy " + proxy + " after " + commands);
      }
    }

    private void connect(int number) {
      boolean restarted = !proxies.containsKey(number) || random.nextInt(3) == 0;
      PlatformProxy proxy = restarted ? new PlatformProxy() : proxies.get(number);
      if (restarted) {
        excluded.remove(number); // a restarted proxy has no exclusions
      } else if (random.nextBoolean()) {
        // Another instance excluded an endpoint between the sessions.
        proxy.excluded.add("s-" + random.nextInt(ENDPOINTS));
      }
      proxies.put(number, proxy);
      simulated.assigned.put(number, new Integer[REQUEST_CLASSES.size()]);
      tables.addProxy(new ProxyId(number), Optional.empty());
      ProxyExclusions exclusions =
          new ProxyExclusions(excluded.computeIfAbsent(number, n -> new HashSet<>()), !restarted);
      routeStates.put(number, new ProxyRouteState(REQUEST_CLASSES.size(), tables, exclusions));
    }

    private void send(ProxyUpdate update, boolean ackRequested) {
      ConfigMessage message = routeStates.get(update.proxy().number()).apply(update);
      List<String> lines = CODEC.write(message);
      assertEquals(message.isEmpty(), lines.isEmpty());
      if (!lines.isEmpty()) {
        PlatformProxy proxy = proxies.get(update.proxy().number());
        proxy.apply(lines, ackRequested);
        assertEquals(message.entries(), proxy.entries, String.valueOf(lines));
      }
    }

    private void assertEqualViews(int proxy, String stepDescription) {
      RoutingView expected = simulated.view(proxy);
      RoutingView actual = proxies.get(proxy).view();
      for (int k = 0; k < REQUEST_CLASSES.size(); k++) {
        // Without an assigned table, the proxy uses its previous one, whose content is unknown.
        if (simulated.assigned.get(proxy)[k] != null) {
          String context = REQUEST_CLASSES.get(k) + ", " + stepDescription;
          assertEquals(expected.weights.get(k), actual.weights.get(k), context);
          assertEquals(expected.limits.get(k), actual.limits.get(k), context);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void givesSameViewsForSeededCommands(long seed) {
    Run run = new Run(seed);
    for (int step = 0; step < 400; step++) {
      run.step(step);
    }
  }

  /** The commands are a first table, a change of its routes, limits and an acknowledgement. */
  @ParameterizedTest
  @ValueSource(ints = {2, 5, 30})
  void chargesSameEntriesAsSimulatorForTypicalCommands(int routes) {
    RouteTables tables = new RouteTables(REQUEST_CLASSES.size());
    ProxyRouteState routeState =
        new ProxyRouteState(
            REQUEST_CLASSES.size(), tables, new ProxyExclusions(new HashSet<>(), false));
    tables.addProxy(new ProxyId(0), Optional.empty());
    List<Command> first =
        new ArrayList<>(
            List.of(
                new Command.LimitAdmission(Command.ALL_TABLES, 7, RetryPolicy.IF_NOT_EXECUTED, 1)));
    for (int i = 0; i < routes; i++) {
      first.add(new Command.SetRoute(new RouteTableId(0), new EndpointId("s-" + i), 1));
    }
    first.add(new Command.AssignRouteTable(new RouteTableId(0), new ProxyId(0), 0));
    first.add(new Command.RequestAck(new AckId(1), false));
    assertEquals(
        1 + routes + 1 + 1,
        entries(tables, routeState, first),
        "the assignment, its routes, the limit for all tables, the acknowledgement");
    assertEquals(
        2,
        entries(
            tables,
            routeState,
            List.of(
                new Command.SetRoute(new RouteTableId(0), new EndpointId("s-0"), 0.5),
                new Command.SetRoute(new RouteTableId(0), new EndpointId("s-1"), 0))));
    assertEquals(
        2,
        entries(
            tables,
            routeState,
            List.of(
                new Command.LimitAdmission(Command.ALL_TABLES, 1, RetryPolicy.NEVER, 0.5),
                new Command.LimitAdmission(Command.ALL_TABLES, 6, RetryPolicy.NEVER, 0.25))));
    assertEquals(
        1, entries(tables, routeState, List.of(new Command.RequestAck(new AckId(2), true))));
  }

  private static int entries(RouteTables tables, ProxyRouteState state, List<Command> commands) {
    return state.apply(tables.apply(commands, 1).get(0)).entries();
  }
}
