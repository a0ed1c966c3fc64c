package stonespring.proxyapi.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.state.ProxyUpdate;
import stonespring.state.RetryPolicyNames;
import stonespring.state.RouteTables;

/**
 * What one proxy holds, as its stream's orders made it: whole messages of the published state
 * become the platform's orders, at the price that the same orders have elsewhere. Tables there
 * stand for op types and have no number; levels for a table and for all of them become one; and
 * withdrawals outlive the stream, so that a task that the proxy may still shut out is let back when
 * a table names it.
 */
final class ProxyRouteState {
  private static final int ROWS_A_PART =
      512; // lines; far under the bytes of a message, and no table has so many
  private static final String ALL = "every";
  private static final String NONE = "0"; // the weight that takes a line away

  private record Level(double level, int again) {
    /**
     * A table's own level and the one for all: the lower counts, and the table's own way of trying
     * again.
     */
    static Level of(Level own, Level all) {
      return own == null
          ? all
          : all == null ? own : new Level(Math.min(own.level, all.level), own.again);
    }
  }

  private final List<String> opTypes;
  private final RouteTables tables;
  private final TreeSet<String> shut;
  private final boolean unknown;
  private final TreeSet<String> sure =
      new TreeSet<>(); // tasks that this stream was told of, out or in
  private final String[] bound;
  private final TreeMap<String, TreeMap<String, String>> lines = new TreeMap<>();
  private final Map<String, Level[]> levels = new LinkedHashMap<>();
  private final Level[] written;

  /**
   * @param tables what this instance ordered: tells which tasks it has withdrawn
   * @param shut the tasks that this instance had the proxy shut out, over its streams; changed here
   * @param unknown whether the proxy may shut out other tasks too: it holds what others ordered
   */
  ProxyRouteState(List<String> opTypes, RouteTables tables, TreeSet<String> shut, boolean unknown) {
    this.opTypes = opTypes;
    this.tables = tables;
    this.shut = shut;
    this.unknown = unknown;
    this.bound = new String[opTypes.size()];
    this.written = new Level[opTypes.size()];
  }

  /** The parts of one message: each a line without its end; empty where nothing would change. */
  List<String> parts(ProxyUpdate message) {
    Set<String> replaced = new LinkedHashSet<>();
    Map<String, Map<String, String>> changed = new LinkedHashMap<>();
    Set<String> out = new TreeSet<>();
    Set<String> in = new TreeSet<>();
    for (Map.Entry<String, String> change : message.changes().entrySet()) {
      // An op type's or a task's name may hold a slash itself; only lines and levels have a table
      // before it.
      boolean ofTable = change.getKey().startsWith("line/") || change.getKey().startsWith("level/");
      String[] key = change.getKey().split("/", ofTable ? 3 : 2);
      String value = change.getValue();
      switch (key[0]) {
        case "bind" -> {
          bound[opTypes.indexOf(key[1])] = value;
          replaced.add(value);
        }
        case "line" -> {
          TreeMap<String, String> table = lines.computeIfAbsent(key[1], t -> new TreeMap<>());
          if (value == null) {
            table.remove(key[2]);
          } else {
            table.put(key[2], value);
          }
          changed
              .computeIfAbsent(key[1], t -> new LinkedHashMap<>())
              .put(key[2], value == null ? NONE : value);
        }
        case "level" -> {
          levels.computeIfAbsent(key[1], t -> new Level[opTypes.size()])[opTypes.indexOf(key[2])] =
              level(value);
          if (value == null) {
            replaced.add(key[1]); // nothing else makes a proxy forget a level
          }
        }
        case "out" -> (value == null ? in : out).add(key[1]);
        default -> throw new IllegalStateException(change.getKey());
      }
    }
    List<String> parts = new ArrayList<>();
    changed
        .keySet()
        .forEach(
            table ->
                tablePart(parts, table, replaced.contains(table), changed.get(table), out, in));
    replaced.stream()
        .filter(table -> !changed.containsKey(table))
        .forEach(table -> tablePart(parts, table, true, Map.of(), out, in));
    // What changes in a table that the proxy is not bound to is not told: it comes whole when it is
    // bound again.
    Set<String> used = new HashSet<>(Arrays.asList(bound));
    lines.keySet().retainAll(used);
    levels.keySet().removeIf(table -> !table.equals(ALL) && !used.contains(table));
    levelParts(parts);
    in.removeAll(out);
    in.removeIf(task -> !mayShut(task));
    out.removeIf(task -> shut.contains(task) && (sure.contains(task) || !unknown));
    shut.removeAll(in);
    shut.addAll(out);
    sure.addAll(in);
    sure.addAll(out);
    return ended(parts, out, in, message.mark() == null ? -1 : message.mark().number());
  }

  /** Whether the proxy may shut a task out: by our order, or by another's that we can't know of. */
  private boolean mayShut(String task) {
    return shut.contains(task) || unknown && !sure.contains(task);
  }

  private static Level level(String word) {
    if (word == null) {
      return null;
    }
    String[] parts = word.split(" ");
    return new Level(Double.parseDouble(parts[0]), RetryPolicyNames.policy(parts[1]).ordinal());
  }

  private String types(java.util.function.IntPredicate which) {
    StringBuilder some = new StringBuilder();
    boolean all = true;
    for (int k = 0; k < opTypes.size(); k++) {
      if (which.test(k)) {
        some.append(some.isEmpty() ? "" : "+").append(opTypes.get(k));
      } else {
        all = false;
      }
    }
    return some.isEmpty() ? null : all ? "" : " for=" + some;
  }

  private void tablePart(
      List<String> parts,
      String table,
      boolean replace,
      Map<String, String> changes,
      Set<String> out,
      Set<String> in) {
    String types = types(k -> table.equals(bound[k]));
    if (types == null) {
      return; // no op type goes by it any more
    }
    Map<String, String> rows = replace ? lines.getOrDefault(table, new TreeMap<>()) : changes;
    if (replace) {
      for (int k = 0; k < bound.length; k++) {
        written[k] =
            table.equals(bound[k]) ? null : written[k]; // a replaced table forgets its levels
      }
    }
    StringBuilder part = new StringBuilder();
    int count = 0;
    for (Map.Entry<String, String> row : rows.entrySet()) {
      String task = row.getKey();
      if (!row.getValue().equals(NONE)) {
        (tables.isWithdrawn(task) ? out : in).add(task);
      }
      part.append(part.isEmpty() ? " rows=" : ",").append(task).append(':').append(row.getValue());
      if (++count % ROWS_A_PART == 0) {
        parts.add(types + (replace && count == ROWS_A_PART ? " replace=1" : "") + part);
        part.setLength(0);
      }
    }
    if (!part.isEmpty() || replace && count == 0) {
      parts.add(types + (replace && count < ROWS_A_PART ? " replace=1" : "") + part);
    }
  }

  /**
   * Levels that differ from what was written: one part, and one line of the price, for those that
   * are alike.
   */
  private void levelParts(List<String> parts) {
    Map<Level, List<Integer>> alike = new LinkedHashMap<>();
    Level[] all = levels.get(ALL);
    for (int k = 0; k < bound.length; k++) {
      Level[] own = bound[k] == null ? null : levels.get(bound[k]);
      Level want = Level.of(own == null ? null : own[k], all == null ? null : all[k]);
      if (want != null && !want.equals(written[k])) {
        written[k] = want;
        alike.computeIfAbsent(want, l -> new ArrayList<>()).add(k);
      }
    }
    alike.forEach(
        (level, of) -> {
          String words =
              " gate=" + RouteTables.weight(Math.max(0, level.level)) + " again=" + level.again;
          String types = types(of::contains);
          if (parts.size() == 1
              && parts.get(0).startsWith(types)
              && sameTypes(parts.get(0), types)) {
            parts.set(0, parts.get(0) + words);
          } else {
            parts.add(types + words);
          }
        });
  }

  private static boolean sameTypes(String part, String types) {
    String rest = part.substring(types.length());
    return !rest.contains(" for=")
        && !rest.contains(" gate=")
        && (rest.isEmpty() || rest.startsWith(" "));
  }

  private static List<String> ended(List<String> parts, Set<String> out, Set<String> in, int mark) {
    String last =
        (in.isEmpty() ? "" : " undrop=" + String.join(",", in))
            + (out.isEmpty() ? "" : " drop=" + String.join(",", out))
            + (mark < 0 ? "" : " stamp=" + mark);
    if (!last.isEmpty()) {
      if (parts.isEmpty()) {
        parts.add("");
      }
      parts.set(parts.size() - 1, parts.get(parts.size() - 1) + last);
    }
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      lines.add("CONFIG" + parts.get(i) + (i < parts.size() - 1 ? " part=1" : ""));
    }
    return lines;
  }

  /** Lines that the channel charges for a message's parts, its head not counted. */
  static int price(List<String> parts) {
    int lines = 0;
    for (String part : parts) {
      for (String word : part.split(" ")) {
        if (word.startsWith("rows=") || word.startsWith("drop=") || word.startsWith("undrop=")) {
          lines += word.split(",").length;
        } else if (word.startsWith("replace=")
            || word.startsWith("gate=")
            || word.startsWith("stamp=")) {
          lines++;
        }
      }
    }
    return lines;
  }
}
