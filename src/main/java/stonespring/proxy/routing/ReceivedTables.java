package stonespring.proxy.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.EndpointId;

/**
 * The route tables, exclusions and admission limits that a proxy holds. When a stream of updates
 * assigns a table to a request class, that table replaces the one held from earlier streams. A
 * class without an assignment in the current stream keeps its earlier table, minus the endpoints
 * that the earlier streams or the current one exclude.
 */
final class ReceivedTables {
  private final List<RouterSettings.ClassSettings> requestClasses;

  // State received from the current stream.
  private String stream = "";
  private final TreeMap<String, TreeMap<String, Double>> tables = new TreeMap<>();
  private final String[] assignedTable;
  private final TreeSet<String> excluded = new TreeSet<>();
  private final Map<LimitKey, AdmissionLimit> limits = new HashMap<>();

  // State kept from earlier streams.
  private final List<TreeMap<String, Double>> previousTables = new ArrayList<>();
  private final TreeSet<String> previouslyExcluded = new TreeSet<>();

  /** The table and request class to which an admission limit applies. */
  private record LimitKey(String table, String requestClass) {
    boolean isForAllTables() {
      return table.equals(PublishedChange.ALL_TABLES);
    }
  }

  ReceivedTables(List<RouterSettings.ClassSettings> requestClasses) {
    this.requestClasses = requestClasses;
    this.assignedTable = new String[requestClasses.size()];
    for (int k = 0; k < assignedTable.length; k++) {
      previousTables.add(new TreeMap<>());
    }
  }

  /**
   * Adds routes of equal weight for every request class, which a proxy uses until it receives
   * tables.
   */
  void addBootstrapRoutes(List<EndpointId> endpoints) {
    for (TreeMap<String, Double> table : previousTables) {
      endpoints.forEach(endpoint -> table.put(endpoint.name(), 1.0));
    }
  }

  /**
   * Prepares for the full state of a stream, whose changes are applied next: drops what was
   * received earlier from this stream. If the stream is new, the previous stream's tables and
   * exclusions are kept as earlier state.
   */
  void beginFullState(String nextStream) {
    if (!nextStream.equals(stream)) {
      retainCurrentTables();
    }
    stream = nextStream;
    tables.clear();
    Arrays.fill(assignedTable, null);
    excluded.clear();
    // Limits for all tables stay until they are replaced: an overload does not end with a stream.
    limits.keySet().removeIf(key -> !key.isForAllTables());
  }

  private void retainCurrentTables() {
    for (int k = 0; k < assignedTable.length; k++) {
      previousTables.set(k, routes(k));
    }
    // If the stream that now ends has assigned a table to every class, no table of the streams
    // before it is left. Their exclusions are dropped, because those streams can no longer end
    // them.
    if (Arrays.stream(assignedTable).allMatch(Objects::nonNull)) {
      previouslyExcluded.clear();
    }
    previouslyExcluded.addAll(excluded);
  }

  void apply(PublishedChange change) {
    if (change instanceof PublishedChange.RouteChange c) {
      applyRoute(c);
    } else if (change instanceof PublishedChange.TableAssignment c) {
      applyAssignment(c);
    } else if (change instanceof PublishedChange.Exclusion c) {
      applyExclusion(c);
    } else if (change instanceof PublishedChange.LimitChange c) {
      applyLimit(c);
    }
  }

  private void applyRoute(PublishedChange.RouteChange change) {
    TreeMap<String, Double> table = tables.computeIfAbsent(change.table(), t -> new TreeMap<>());
    if (change.weight() == null) {
      table.remove(change.endpoint());
    } else {
      table.put(change.endpoint(), change.weight());
    }
  }

  private void applyAssignment(PublishedChange.TableAssignment change) {
    for (int k = 0; k < assignedTable.length; k++) {
      if (requestClasses.get(k).name().equals(change.requestClass())) {
        assignedTable[k] = change.table();
        return;
      }
    }
  }

  private void applyExclusion(PublishedChange.Exclusion change) {
    if (change.excluded()) {
      excluded.add(change.endpoint());
    } else {
      excluded.remove(change.endpoint());
      previouslyExcluded.remove(change.endpoint());
    }
  }

  private void applyLimit(PublishedChange.LimitChange change) {
    LimitKey key = new LimitKey(change.table(), change.requestClass());
    if (change.limit() == null) {
      limits.remove(key);
    } else {
      limits.put(key, change.limit());
    }
  }

  /** The weights in force for a request class by endpoint, excluded endpoints included. */
  TreeMap<String, Double> routes(int requestClass) {
    String table = assignedTable[requestClass];
    return table == null
        ? new TreeMap<>(previousTables.get(requestClass))
        : new TreeMap<>(tables.getOrDefault(table, new TreeMap<>()));
  }

  /** Whether an endpoint is excluded for a request class. */
  boolean isExcluded(int requestClass, String endpoint) {
    return excluded.contains(endpoint)
        || assignedTable[requestClass] == null && previouslyExcluded.contains(endpoint);
  }

  /** The limit in force for a request class, or null if there is none. */
  AdmissionLimit limit(int requestClass) {
    String name = requestClasses.get(requestClass).name();
    String table = assignedTable[requestClass];
    AdmissionLimit forTable = table == null ? null : limits.get(new LimitKey(table, name));
    AdmissionLimit forAllTables = limits.get(new LimitKey(PublishedChange.ALL_TABLES, name));
    return AdmissionLimit.combine(forAllTables, forTable);
  }
}
