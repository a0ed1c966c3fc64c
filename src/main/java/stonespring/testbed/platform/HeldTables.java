package stonespring.testbed.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The route tables and exclusions that a proxy holds, as the orders on its connections make them.
 * They outlive a connection. Thread-safe.
 */
final class HeldTables {
  private final List<String> requestClasses;
  private final Map<String, Map<String, Double>> routesByClass = new HashMap<>();
  private final Set<String> excluded = new HashSet<>();

  HeldTables(List<String> requestClasses) {
    this.requestClasses = requestClasses;
    requestClasses.forEach(name -> routesByClass.put(name, new LinkedHashMap<>()));
  }

  /** Returns whether no class has a route. */
  synchronized boolean isEmpty() {
    return routesByClass.values().stream().allMatch(Map::isEmpty);
  }

  /**
   * Applies an order.
   *
   * @param fields the fields of a CONFIG message
   * @throws IllegalArgumentException if the order can't be used; the message names the field
   */
  synchronized void apply(Map<String, String> fields) {
    List<String> classes = requestClasses;
    if (fields.containsKey("for")) {
      classes = List.of(fields.get("for").split("\\+"));
      for (String name : classes) {
        if (!requestClasses.contains(name)) {
          throw new IllegalArgumentException("field 'for' names the unknown class " + name);
        }
      }
    }
    for (String name : classes) {
      applyRoutes(routesByClass.get(name), fields);
    }
    split(fields.get("drop")).forEach(excluded::add);
    split(fields.get("undrop")).forEach(excluded::remove);
  }

  private static void applyRoutes(Map<String, Double> routes, Map<String, String> fields) {
    if ("1".equals(fields.get("replace"))) {
      routes.clear();
    }
    for (String row : split(fields.get("rows"))) {
      int colon = row.lastIndexOf(':');
      double weight = Double.parseDouble(row.substring(colon + 1));
      if (weight > 0) {
        routes.put(row.substring(0, colon), weight);
      } else if (weight == 0) {
        routes.remove(row.substring(0, colon));
      } else {
        throw new IllegalArgumentException("field 'rows' has a negative weight: " + row);
      }
    }
  }

  private static List<String> split(String list) {
    return list == null || list.isEmpty() ? List.of() : List.of(list.split(","));
  }

  /** Returns the endpoints that the proxy may send requests of a class to. */
  synchronized Set<String> usableEndpoints(String requestClass) {
    Set<String> usable = new HashSet<>(routesByClass.get(requestClass).keySet());
    usable.removeAll(excluded);
    return usable;
  }
}
