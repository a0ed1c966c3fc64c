package stonespring.decision;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The state of a simulated proxy, independent of what the engine knows about it. */
final class FleetProxy {
  final int number;
  final int zone;
  final double requestRate;

  /**
   * Instant in DeciMillis since which the proxy has had no route although a warm endpoint is
   * listed; -1 if it has a route or no warm endpoint is listed.
   */
  long withoutRouteSince = -1;

  boolean connected;
  boolean withoutTables;

  /** Weights by endpoint; null while the proxy holds tables that the engine does not know. */
  TreeMap<String, Double> table;

  /** Stands for the endpoints in tables that other instances assigned before the test began. */
  private static final String ENDPOINT_OF_OTHER_INSTANCE = "other";

  /** Names of the endpoints in the tables that the proxy held when it last connected. */
  private final TreeSet<String> heldEndpoints = new TreeSet<>(Set.of(ENDPOINT_OF_OTHER_INSTANCE));

  /** Names of the endpoints that the proxy was told not to use. */
  final TreeSet<String> excludedEndpoints = new TreeSet<>();

  /** When messages were sent to the proxy within the message window, the oldest first. */
  final ArrayDeque<Long> messagesSentAt = new ArrayDeque<>();

  FleetProxy(int number, int zone, double requestRate) {
    this.number = number;
    this.zone = zone;
    this.requestRate = requestRate;
  }

  /**
   * Shares of the proxy's requests by endpoint, without excluded endpoints; empty while its tables
   * are unknown.
   */
  TreeMap<String, Double> shares() {
    TreeMap<String, Double> shares = new TreeMap<>();
    if (table != null) {
      double sum =
          table.entrySet().stream()
              .filter(e -> !excludedEndpoints.contains(e.getKey()))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      table.forEach(
          (endpoint, weight) -> {
            if (!excludedEndpoints.contains(endpoint)) {
              shares.put(endpoint, weight / sum);
            }
          });
    }
    return shares;
  }

  /**
   * Connects the proxy. It keeps the tables that it held, which the engine does not know, unless it
   * starts without tables.
   */
  void connect(boolean startsWithoutTables) {
    if (startsWithoutTables) {
      heldEndpoints.clear();
      excludedEndpoints.clear();
    } else if (table != null) {
      heldEndpoints.clear();
      heldEndpoints.addAll(table.keySet());
    }
    connected = true;
    withoutTables = startsWithoutTables;
    withoutRouteSince = -1;
    table = null;
    messagesSentAt.clear();
  }

  /** Names of the endpoints that the proxy may send requests to, whether or not they are ready. */
  TreeSet<String> usableEndpoints() {
    TreeSet<String> usable = new TreeSet<>(table == null ? heldEndpoints : table.keySet());
    usable.removeAll(excludedEndpoints);
    return usable;
  }
}
