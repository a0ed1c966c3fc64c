package stonespring.decision;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** A proxy as it stands outside the engine. */
final class FleetProxy {
  final int number;
  final int zone;
  final double requestRate;

  /** Since when it has had no route while a warm endpoint was listed; -1 if it has one. */
  long emptySince = -1;

  boolean connected;
  boolean withoutTables;

  /** Weights by endpoint; null while it holds tables that the engine does not know. */
  TreeMap<String, Double> table;

  final TreeSet<String> excluded = new TreeSet<>();
  final ArrayDeque<Long> messagesSentAt = new ArrayDeque<>();

  FleetProxy(int number, int zone, double requestRate) {
    this.number = number;
    this.zone = zone;
    this.requestRate = requestRate;
  }

  /** Shares of its requests by endpoint, without excluded ones; empty while tables are unknown. */
  TreeMap<String, Double> shares() {
    TreeMap<String, Double> shares = new TreeMap<>();
    if (table != null) {
      double sum =
          table.entrySet().stream()
              .filter(e -> !excluded.contains(e.getKey()))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      table.forEach(
          (endpoint, weight) -> {
            if (!excluded.contains(endpoint)) {
              shares.put(endpoint, weight / sum);
            }
          });
    }
    return shares;
  }
}
