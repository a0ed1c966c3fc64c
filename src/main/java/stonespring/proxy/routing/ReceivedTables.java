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
 * The route tables, exclusions and admission limits that a proxy holds. What one stream of updates
 * assigns to a request class replaces what was held for it before; classes that the stream has not
 * assigned keep what was held, without endpoints that were excluded then or now.
 */
final class ReceivedTables {
  private final List<RouterSettings.ClassSettings> requestClasses;

  // Of the present stream.
  private String stream = "";
  private final TreeMap<String, TreeMap<String, Double>> tables = new TreeMap<>();
  private final String[] assignedTable;
  private final TreeSet<String> excluded = new TreeSet<>();
  private final Map<LimitKey, AdmissionLimit> limits = new HashMap<>();

  // Held before it.
  private final List<TreeMap<String, Double>> previousTables = new ArrayList<>();
  private final TreeSet<String> previouslyExcluded = new TreeSet<>();

  /** What an admission limit holds for. */
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

  /** Adds routes of equal weight for every request class: the table that a proxy starts with. */
  void addBootstrapRoutes(List<EndpointId> endpoints) {
    for (TreeMap<String, Double> table : previousTables) {
      endpoints.forEach(endpoint -> table.put(endpoint.name(), 1.0));
    }
  }

  /** A whole state of a stream is about to be applied: what this stream sent before is dropped. */
  void beginFullState(String nextStream) {
    if (!nextStream.equals(stream)) {
      retainCurrentTables();
    }
    stream = nextStream;
    tables.clear();
    Arrays.fill(assignedTable, null);
    excluded.clear();
    // Limits for all tables hold until they are replaced: an overload does not end with a stream.
    limits.keySet().removeIf(key -> !key.isForAllTables());
  }

  private void retainCurrentTables() {
    for (int k = 0; k < assignedTable.length; k++) {
      previousTables.set(k, routes(k));
    }
    // Exclusions go with the tables that they were sent with: that stream alone could end them.
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

  /** Weights by endpoint that hold for a request class, excluded endpoints included. */
  TreeMap<String, Double> routes(int requestClass) {
    String table = assignedTable[requestClass];
    return table == null
        ? new TreeMap<>(previousTables.get(requestClass))
        : new TreeMap<>(tables.getOrDefault(table, new TreeMap<>()));
  }

  /** Whether nothing may be sent to an endpoint for a request class. */
  boolean isExcluded(int requestClass, String endpoint) {
    return excluded.contains(endpoint)
        || assignedTable[requestClass] == null && previouslyExcluded.contains(endpoint);
  }

  /** The limit that holds for a request class, or null. */
  AdmissionLimit limit(int requestClass) {
    String name = requestClasses.get(requestClass).name();
    String table = assignedTable[requestClass];
    AdmissionLimit forTable = table == null ? null : limits.get(new LimitKey(table, name));
    AdmissionLimit forAllTables = limits.get(new LimitKey(PublishedChange.ALL_TABLES, name));
    return AdmissionLimit.combine(forAllTables, forTable);
  }
}
