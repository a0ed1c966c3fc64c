package stonespring.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RetryPolicy;
import stonespring.model.RouteTableId;

/**
 * Orders of the decisions as messages to proxies: what each table, level and withdrawal means for
 * each proxy that is joined. It decides nothing; it only works out whom an order concerns and which
 * keys say so. Keys are relative to a proxy's subtree: {@code line/TABLE/TASK}, {@code bind/TYPE},
 * {@code level/TABLE/TYPE} ({@code every} for all tables), {@code out/TASK}. A message's price
 * follows the rule that an order costs a line at each proxy that it concerns.
 */
public final class RouteTables {
  private static final class Level {
    private double share;
    private RetryPolicy retry;
  }

  private static final class Joined {
    private final ProxyId id;
    private final RouteTableId[] bound;
    private final TreeSet<EndpointId> holds =
        new TreeSet<>(java.util.Comparator.comparing(EndpointId::name));
    private final boolean holdsUnknown;
    private final String[] everyTold;

    Joined(ProxyId id, int opTypes, List<EndpointId> holds) {
      this.id = id;
      this.bound = new RouteTableId[opTypes];
      this.everyTold = new String[opTypes];
      this.holdsUnknown = holds == null;
      if (holds != null) {
        this.holds.addAll(holds);
      }
    }

    boolean uses(RouteTableId table) {
      return Arrays.asList(bound).contains(table);
    }

    boolean free() {
      return Arrays.stream(bound).anyMatch(java.util.Objects::isNull);
    }
  }

  /** A message while the orders of one reply are read. */
  private static final class Draft {
    private final LinkedHashMap<String, String> changes = new LinkedHashMap<>();
    private int lines;
  }

  private final List<String> opTypes;
  private final TreeMap<Integer, Joined> proxies = new TreeMap<>();
  private final TreeMap<Integer, TreeMap<String, Double>> lines = new TreeMap<>();
  private final TreeMap<Integer, TreeSet<Integer>> users = new TreeMap<>();
  private final TreeMap<Integer, Level[]> levels = new TreeMap<>();
  private final TreeSet<String> withdrawn = new TreeSet<>();
  private final Level[] every;

  public RouteTables(List<String> opTypes) {
    this.opTypes = List.copyOf(opTypes);
    this.every = new Level[opTypes.size()];
  }

  /**
   * A proxy's stream stands: it is bound to nothing; {@code holds} are the tasks of its tables,
   * null if unknown.
   */
  public void joined(ProxyId proxy, List<EndpointId> holds) {
    left(proxy);
    proxies.put(proxy.number(), new Joined(proxy, opTypes.size(), holds));
  }

  public void left(ProxyId proxy) {
    Joined gone = proxies.remove(proxy.number());
    if (gone != null) {
      for (RouteTableId table : gone.bound) {
        if (table != null) {
          users.getOrDefault(table.number(), new TreeSet<>()).remove(proxy.number());
        }
      }
    }
  }

  /**
   * The messages that a reply's orders make, one for each proxy concerned, by the order in which it
   * was reached.
   */
  public List<ProxyUpdate> messages(List<Command> orders, long now) {
    Map<Integer, Draft> drafts = new LinkedHashMap<>();
    AckId mark = null;
    boolean markAll = false;
    for (Command order : orders) {
      if (order instanceof Command.SetRoute o) {
        setLine(drafts, o);
      } else if (order instanceof Command.ClearRouteTable o) {
        clear(drafts, o.table());
      } else if (order instanceof Command.AssignRouteTable o) {
        bind(drafts, o);
      } else if (order instanceof Command.ExcludeEndpoint o) {
        withdraw(drafts, o);
      } else if (order instanceof Command.LimitAdmission o) {
        admit(drafts, o);
      } else if (order instanceof Command.RequestAck o) {
        mark = o.ack();
        markAll = o.everyProxy();
      }
    }
    if (markAll) {
      proxies.keySet().forEach(number -> drafts.computeIfAbsent(number, n -> new Draft()));
    }
    List<ProxyUpdate> messages = new ArrayList<>();
    for (Map.Entry<Integer, Draft> entry : drafts.entrySet()) {
      Draft draft = entry.getValue();
      Joined proxy = proxies.get(entry.getKey());
      everyLevels(proxy, draft);
      int price = draft.lines + (mark == null ? 0 : 1);
      messages.add(new ProxyUpdate(proxy.id, draft.changes, price, mark, now));
    }
    return messages;
  }

  private void change(Map<Integer, Draft> drafts, int proxy, String key, String value) {
    Draft draft = drafts.computeIfAbsent(proxy, n -> new Draft());
    draft.changes.remove(key); // the later order stands later
    draft.changes.put(key, value);
    draft.lines++;
  }

  private static String lineKey(RouteTableId table, String task) {
    return "line/" + table.number() + "/" + task;
  }

  /** A weight as the wire has it: plain decimals, never an exponent. */
  public static String weight(double weight) {
    return java.math.BigDecimal.valueOf(weight).stripTrailingZeros().toPlainString();
  }

  private TreeSet<Integer> users(RouteTableId table) {
    return users.computeIfAbsent(table.number(), n -> new TreeSet<>());
  }

  private void setLine(Map<Integer, Draft> drafts, Command.SetRoute o) {
    TreeMap<String, Double> table = lines.computeIfAbsent(o.table().number(), n -> new TreeMap<>());
    String task = o.endpoint().name();
    if (o.weight() > 0) {
      table.put(task, o.weight());
    } else {
      table.remove(task);
    }
    for (int proxy : users(o.table())) {
      change(drafts, proxy, lineKey(o.table(), task), o.weight() > 0 ? weight(o.weight()) : null);
    }
  }

  private void clear(Map<Integer, Draft> drafts, RouteTableId id) {
    TreeMap<String, Double> table = lines.remove(id.number());
    Level[] own = levels.remove(id.number());
    for (int proxy : users(id)) {
      if (table != null) {
        table.keySet().forEach(task -> change(drafts, proxy, lineKey(id, task), null));
      }
      for (int k = 0; own != null && k < own.length; k++) {
        if (own[k] != null) {
          change(drafts, proxy, levelKey(id, k), null);
        }
      }
    }
  }

  private boolean concerns(int bits, int opType) {
    return bits == 0 || (bits >> opType & 1) == 1;
  }

  private void bind(Map<Integer, Draft> drafts, Command.AssignRouteTable o) {
    Joined proxy = proxies.get(o.proxy().number());
    if (proxy == null) {
      return; // it left before the order
    }
    boolean newTable = !proxy.uses(o.table());
    for (int k = 0; k < proxy.bound.length; k++) {
      if (!concerns(o.requestClassMask(), k)) {
        continue;
      }
      RouteTableId before = proxy.bound[k];
      proxy.bound[k] = o.table();
      if (before != null && !proxy.uses(before)) {
        dropTable(drafts, proxy, before);
      }
      drafts
          .computeIfAbsent(proxy.id.number(), n -> new Draft())
          .changes
          .put("bind/" + opTypes.get(k), String.valueOf(o.table().number()));
    }
    drafts.get(proxy.id.number()).lines++;
    users(o.table()).add(proxy.id.number());
    if (!newTable) {
      return;
    }
    lines
        .getOrDefault(o.table().number(), new TreeMap<>())
        .forEach(
            (task, weight) -> {
              change(drafts, proxy.id.number(), lineKey(o.table(), task), weight(weight));
              if (withdrawn.contains(task)) {
                change(drafts, proxy.id.number(), "out/" + task, "1");
              }
            });
    Level[] own = levels.get(o.table().number());
    for (int k = 0; own != null && k < own.length; k++) {
      if (own[k] != null) {
        change(drafts, proxy.id.number(), levelKey(o.table(), k), word(own[k]));
      }
    }
  }

  private void dropTable(Map<Integer, Draft> drafts, Joined proxy, RouteTableId table) {
    users(table).remove(proxy.id.number());
    for (String task : lines.getOrDefault(table.number(), new TreeMap<>()).keySet()) {
      drafts
          .computeIfAbsent(proxy.id.number(), n -> new Draft())
          .changes
          .put(lineKey(table, task), null);
    }
  }

  private void withdraw(Map<Integer, Draft> drafts, Command.ExcludeEndpoint o) {
    String task = o.endpoint().name();
    if (o.excluded()) {
      withdrawn.add(task);
    } else {
      withdrawn.remove(task);
    }
    for (Joined proxy : proxies.values()) {
      boolean holds = proxy.free() && (proxy.holdsUnknown || proxy.holds.contains(o.endpoint()));
      for (RouteTableId table : proxy.bound) {
        holds |=
            table != null && lines.getOrDefault(table.number(), new TreeMap<>()).containsKey(task);
      }
      if (holds) {
        change(drafts, proxy.id.number(), "out/" + task, o.excluded() ? "1" : null);
      }
    }
  }

  /** Whether a task is withdrawn now. */
  public boolean isWithdrawn(String task) {
    return withdrawn.contains(task);
  }

  /** A task so long gone that no proxy holds it any more: its withdrawal ends with it. */
  public void forget(EndpointId task) {
    withdrawn.remove(task.name());
  }

  private String levelKey(RouteTableId table, int opType) {
    String name = table.equals(Command.ALL_TABLES) ? "every" : String.valueOf(table.number());
    return "level/" + name + "/" + opTypes.get(opType);
  }

  private static String word(Level level) {
    return weight(level.share) + " " + RetryPolicyNames.name(level.retry);
  }

  private void admit(Map<Integer, Draft> drafts, Command.LimitAdmission o) {
    boolean all = o.table().equals(Command.ALL_TABLES);
    Level[] of =
        all ? every : levels.computeIfAbsent(o.table().number(), n -> new Level[opTypes.size()]);
    for (int k = 0; k < of.length; k++) {
      if (concerns(o.requestClassMask(), k)) {
        of[k] = new Level();
        of[k].share = o.limit();
        of[k].retry = o.retryPolicy();
      }
    }
    for (int number : all ? proxies.keySet() : users(o.table())) {
      Draft draft = drafts.computeIfAbsent(number, n -> new Draft());
      draft.lines++;
      for (int k = 0; k < of.length && !all; k++) {
        if (concerns(o.requestClassMask(), k)) {
          draft.changes.put(levelKey(o.table(), k), word(of[k]));
        }
      }
    }
  }

  /** Levels for every table travel with each message to a proxy that was not told them yet. */
  private void everyLevels(Joined proxy, Draft draft) {
    for (int k = 0; k < every.length; k++) {
      if (every[k] != null && !word(every[k]).equals(proxy.everyTold[k])) {
        proxy.everyTold[k] = word(every[k]);
        draft.changes.put(levelKey(Command.ALL_TABLES, k), proxy.everyTold[k]);
      }
    }
  }
}
