package stonespring.proxyapi.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
import stonespring.state.ProxyUpdate;
import stonespring.state.RouteTables;

/**
 * The same orders, as the simulator's page has them and as the platform's messages say them, leave
 * the same lines, levels and withdrawals at a proxy. Both proxies are written here, from the two
 * pages, and share no code with the front.
 */
final class SameCommandsTest {
  private static final List<String> TYPES = List.of("look", "buy", "pay");
  private static final int PROXIES = 4;
  private static final int TASKS = 7;

  private record Level(double share, int again) {}

  /** What an op of each type may go to, and how much of it is let in. */
  private record View(List<TreeMap<String, Double>> lines, List<Level> levels) {}

  /**
   * A proxy by the simulator's page: tables by number, withdrawals of the instance, a table's level
   * and one for all.
   */
  private static final class Simulated {
    final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();
    final TreeMap<Integer, Level[]> levels = new TreeMap<>();
    final Level[] every = new Level[TYPES.size()];
    final Set<String> out = new HashSet<>();
    final Map<Integer, Integer[]> bound = new LinkedHashMap<>();

    void take(Command order) {
      if (order instanceof Command.SetRoute o) {
        TreeMap<String, Double> table =
            tables.computeIfAbsent(o.table().number(), t -> new TreeMap<>());
        table.remove(o.endpoint().name());
        if (o.weight() > 0) {
          table.put(o.endpoint().name(), o.weight());
        }
      } else if (order instanceof Command.ClearRouteTable o) {
        tables.remove(o.table().number());
        levels.remove(o.table().number());
      } else if (order instanceof Command.AssignRouteTable o) {
        Integer[] of = bound.get(o.proxy().number());
        for (int k = 0; of != null && k < of.length; k++) {
          if (o.requestClassMask() == 0 || (o.requestClassMask() >> k & 1) == 1) {
            of[k] = o.table().number();
          }
        }
      } else if (order instanceof Command.ExcludeEndpoint o) {
        if (o.excluded()) {
          out.add(o.endpoint().name());
        } else {
          out.remove(o.endpoint().name());
        }
      } else if (order instanceof Command.LimitAdmission o) {
        Level[] of =
            o.table().equals(Command.ALL_TABLES)
                ? every
                : levels.computeIfAbsent(o.table().number(), t -> new Level[TYPES.size()]);
        for (int k = 0; k < of.length; k++) {
          if (o.requestClassMask() == 0 || (o.requestClassMask() >> k & 1) == 1) {
            of[k] = new Level(o.limit(), o.retryPolicy().ordinal());
          }
        }
      }
    }

    View view(int proxy) {
      List<TreeMap<String, Double>> lines = new ArrayList<>();
      List<Level> at = new ArrayList<>();
      for (int k = 0; k < TYPES.size(); k++) {
        Integer table = bound.get(proxy)[k];
        if (table == null) { // by its standing table, whatever that is
          lines.add(null);
          at.add(null);
          continue;
        }
        TreeMap<String, Double> of = new TreeMap<>(tables.getOrDefault(table, new TreeMap<>()));
        of.keySet().removeAll(out);
        lines.add(of);
        Level own = levels.containsKey(table) ? levels.get(table)[k] : null;
        at.add(
            own == null
                ? every[k]
                : every[k] == null
                    ? own
                    : new Level(Math.min(own.share, every[k].share), own.again));
      }
      return new View(lines, at);
    }
  }

  /**
   * A proxy by the platform's page: a table for each op type; what it shuts out stays over its
   * streams.
   */
  private static final class OnSockets {
    final List<TreeMap<String, Double>> lines = new ArrayList<>();
    final Level[] levels = new Level[TYPES.size()];
    final Set<String> shut = new TreeSet<>();
    int price;

    OnSockets() {
      for (int k = 0; k < TYPES.size(); k++) {
        lines.add(new TreeMap<>());
      }
    }

    void take(List<String> parts, boolean marked) {
      price = 0;
      for (int i = 0; i < parts.size(); i++) {
        Map<String, String> words = new LinkedHashMap<>();
        String[] split = parts.get(i).split(" ");
        assertEquals("CONFIG", split[0]);
        for (int w = 1; w < split.length; w++) {
          String[] pair = split[w].split("=", 2);
          assertEquals(null, words.put(pair[0], pair[1]), parts.get(i));
        }
        assertEquals(
            i < parts.size() - 1, "1".equals(words.remove("part")), "all but the last are parts");
        part(words);
      }
      assertTrue(parts.size() <= 64);
      assertEquals(
          marked,
          parts.get(parts.size() - 1).contains(" stamp="),
          "a mark stands in the last part");
    }

    private void part(Map<String, String> words) {
      List<Integer> of = new ArrayList<>();
      for (int k = 0; k < TYPES.size(); k++) {
        if (!words.containsKey("for")
            || List.of(words.get("for").split("\\+")).contains(TYPES.get(k))) {
          of.add(k);
        }
      }
      assertTrue(!of.isEmpty());
      assertEquals(words.containsKey("gate"), words.containsKey("again"));
      for (Map.Entry<String, String> word : words.entrySet()) {
        String value = word.getValue();
        switch (word.getKey()) {
          case "for", "again" -> {}
          case "replace" -> {
            price++;
            of.forEach(k -> lines.get(k).clear());
            of.forEach(k -> levels[k] = null);
          }
          case "rows" -> {
            for (String row : value.split(",")) {
              price++;
              String[] pair = row.split(":");
              assertTrue(pair[1].matches("[0-9]+(\\.[0-9]+)?"), row);
              for (int k : of) {
                lines.get(k).remove(pair[0]);
                if (Double.parseDouble(pair[1]) > 0) {
                  lines.get(k).put(pair[0], Double.parseDouble(pair[1]));
                }
              }
            }
          }
          case "gate" -> {
            price++;
            of.forEach(
                k ->
                    levels[k] =
                        new Level(Double.parseDouble(value), Integer.parseInt(words.get("again"))));
          }
          case "drop" -> {
            shut.addAll(List.of(value.split(",")));
            price += value.split(",").length;
          }
          case "undrop" -> {
            shut.removeAll(List.of(value.split(",")));
            price += value.split(",").length;
          }
          case "stamp" -> price++;
          default -> throw new AssertionError(word);
        }
      }
    }

    View view() {
      List<TreeMap<String, Double>> at = new ArrayList<>();
      for (TreeMap<String, Double> of : lines) {
        TreeMap<String, Double> open = new TreeMap<>(of);
        open.keySet().removeAll(shut);
        at.add(open);
      }
      List<Level> level = new ArrayList<>();
      for (Level l : levels) {
        level.add(l);
      }
      return new View(at, level);
    }
  }

  private static double round(SplittableRandom random) {
    return random.nextInt(1, 2000) / 1000.0;
  }

  private static Command order(SplittableRandom random) {
    RouteTableId table = new RouteTableId(random.nextInt(PROXIES));
    EndpointId task = new EndpointId("s-" + random.nextInt(TASKS));
    int bits = random.nextInt(3) == 0 ? random.nextInt(1, 8) : 0;
    return switch (random.nextInt(9)) {
      case 0, 1, 2 -> new Command.SetRoute(table, task, random.nextInt(4) == 0 ? 0 : round(random));
      case 3 ->
          random.nextInt(6) == 0
              ? new Command.ClearRouteTable(table)
              : new Command.SetRoute(table, task, 0.001);
      case 4, 5 -> new Command.AssignRouteTable(table, new ProxyId(random.nextInt(PROXIES)), bits);
      case 6 -> new Command.ExcludeEndpoint(task, random.nextBoolean());
      default ->
          new Command.LimitAdmission(
              random.nextBoolean() ? Command.ALL_TABLES : table,
              bits,
              RetryPolicy.values()[random.nextInt(4)],
              random.nextInt(5) / 4.0);
    };
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void seededOrdersLeaveTheSame(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Simulated simulated = new Simulated();
    RouteTables tables = new RouteTables(TYPES);
    Map<Integer, OnSockets> proxies = new TreeMap<>();
    Map<Integer, ProxyRouteState> streams = new TreeMap<>();
    Map<Integer, TreeSet<String>> shut = new TreeMap<>();
    for (int step = 0; step < 400; step++) {
      int number = random.nextInt(PROXIES);
      if (!streams.containsKey(number) || random.nextInt(40) == 0) {
        boolean fresh = !proxies.containsKey(number) || random.nextInt(3) == 0;
        OnSockets proxy = fresh ? new OnSockets() : proxies.get(number);
        if (fresh) {
          shut.remove(number); // it was started anew
        } else if (random.nextBoolean()) {
          proxy.shut.add("s-" + random.nextInt(TASKS)); // by another assigner, meanwhile
        }
        proxies.put(number, proxy);
        simulated.bound.put(number, new Integer[TYPES.size()]);
        tables.joined(new ProxyId(number), null);
        streams.put(
            number,
            new ProxyRouteState(
                TYPES, tables, shut.computeIfAbsent(number, n -> new TreeSet<>()), !fresh));
      }
      List<Command> orders = new ArrayList<>();
      for (int i = random.nextInt(6); i >= 0; i--) {
        orders.add(order(random));
      }
      boolean marked = random.nextBoolean();
      if (marked) {
        orders.add(new Command.RequestAck(new AckId(step), false));
      }
      orders.forEach(simulated::take);
      for (ProxyUpdate message : tables.messages(orders, 1)) {
        List<String> parts = streams.get(message.proxy().number()).parts(message);
        if (!parts.isEmpty()) {
          OnSockets proxy = proxies.get(message.proxy().number());
          proxy.take(parts, marked);
          assertEquals(ProxyRouteState.price(parts), proxy.price, String.valueOf(parts));
        }
      }
      for (int p : streams.keySet()) {
        View wanted = simulated.view(p);
        View seen = proxies.get(p).view();
        for (int k = 0; k < TYPES.size(); k++) {
          if (simulated.bound.get(p)[k] != null) { // an unbound table is its own affair
            String where =
                "seed "
                    + seed
                    + ", step "
                    + step
                    + ", proxy "
                    + p
                    + ", "
                    + TYPES.get(k)
                    + " after "
                    + orders;
            assertEquals(wanted.lines.get(k), seen.lines.get(k), where);
            assertEquals(wanted.levels.get(k), seen.levels.get(k), where);
          }
        }
      }
    }
  }

  /**
   * The price of what the decisions usually order: a first table, a change of it, a level, a
   * withdrawal.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 5, 30})
  void theUsualOrdersHaveTheSimulatorsPrice(int lines) {
    RouteTables tables = new RouteTables(TYPES);
    ProxyRouteState stream = new ProxyRouteState(TYPES, tables, new TreeSet<>(), false);
    tables.joined(new ProxyId(0), null);
    List<Command> first =
        new ArrayList<>(
            List.of(
                new Command.LimitAdmission(Command.ALL_TABLES, 7, RetryPolicy.IF_NOT_EXECUTED, 1)));
    for (int i = 0; i < lines; i++) {
      first.add(new Command.SetRoute(new RouteTableId(0), new EndpointId("s-" + i), 1));
    }
    first.add(new Command.AssignRouteTable(new RouteTableId(0), new ProxyId(0), 0));
    first.add(new Command.RequestAck(new AckId(1), false));
    assertEquals(
        1 + lines + 1 + 1,
        price(tables, stream, first),
        "the bind, its lines, the level for all, the mark");
    assertEquals(
        2,
        price(
            tables,
            stream,
            List.of(
                new Command.SetRoute(new RouteTableId(0), new EndpointId("s-0"), 0.5),
                new Command.SetRoute(new RouteTableId(0), new EndpointId("s-1"), 0))));
    assertEquals(
        2,
        price(
            tables,
            stream,
            List.of(
                new Command.LimitAdmission(Command.ALL_TABLES, 1, RetryPolicy.NEVER, 0.5),
                new Command.LimitAdmission(Command.ALL_TABLES, 6, RetryPolicy.NEVER, 0.25))));
    assertEquals(1, price(tables, stream, List.of(new Command.RequestAck(new AckId(2), true))));
  }

  private static int price(RouteTables tables, ProxyRouteState stream, List<Command> orders) {
    return ProxyRouteState.price(stream.parts(tables.messages(orders, 1).get(0)));
  }
}
