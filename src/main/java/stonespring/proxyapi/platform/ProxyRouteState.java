package stonespring.proxyapi.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.RouteTableId;
import stonespring.state.AdmissionLimit;
import stonespring.state.ProxyChange;
import stonespring.state.ProxyUpdate;
import stonespring.state.RouteTables;

/**
 * Holds the routes and admission limits of one proxy that result from the updates of its session.
 * Converts updates to messages of the platform's protocol, which differs from the update model:
 * each request class has its own route table and tables have no numbers; a request class has a
 * single admission limit, which combines the limit of its table with the limit for all tables; and
 * exclusions remain when the session ends. The message of a typical update has as many entries as
 * the update.
 */
final class ProxyRouteState {
  /**
   * Maximum number of routes in a line, so that the line is much shorter than the longest one that
   * a proxy accepts.
   */
  private static final int MAX_ROUTES_PER_PART = 512;

  private final int requestClassCount;
  private final RouteTables tables;
  private final ProxyExclusions exclusions;
  private final RouteTableId[] assignedTables;
  private final Map<RouteTableId, TreeMap<EndpointId, ProxyChange.RouteChange>> routesByTable =
      new HashMap<>();
  private final Map<RouteTableId, AdmissionLimit[]> limitsByTable = new HashMap<>();
  private final AdmissionLimit[] sentLimits;

  /** The tables that one update changes, in the order in which the update changes them. */
  private static final class ChangedTables {
    private final Set<RouteTableId> replaced = new LinkedHashSet<>();
    private final Map<RouteTableId, List<ProxyChange.RouteChange>> changedRoutes =
        new LinkedHashMap<>();
  }

  /**
   * Creates the state of a new session.
   *
   * @param tables the state of all proxies, which includes the excluded endpoints
   */
  ProxyRouteState(int requestClassCount, RouteTables tables, ProxyExclusions exclusions) {
    this.requestClassCount = requestClassCount;
    this.tables = tables;
    this.exclusions = exclusions;
    this.assignedTables = new RouteTableId[requestClassCount];
    this.sentLimits = new AdmissionLimit[requestClassCount];
  }

  /** Applies an update, and returns the message to send; empty if nothing is to be sent. */
  ConfigMessage apply(ProxyUpdate update) {
    ExclusionChanges exclusionChanges = new ExclusionChanges();
    ChangedTables changedTables = new ChangedTables();
    update.changes().forEach(change -> applyChange(change, changedTables, exclusionChanges));

    List<ConfigMessage.Part> parts = new ArrayList<>();
    changedTables.changedRoutes.forEach(
        (table, changes) -> {
          if (changedTables.replaced.contains(table)) {
            addReplacement(table, parts, exclusionChanges);
          } else {
            addRoutes(table, changes, parts, exclusionChanges);
          }
        });
    for (RouteTableId table : changedTables.replaced) {
      if (!changedTables.changedRoutes.containsKey(table)) {
        addReplacement(table, parts, exclusionChanges);
      }
    }
    removeUnusedTables();
    addLimits(parts);
    exclusions.apply(exclusionChanges);
    return new ConfigMessage(parts, exclusionChanges, update.ack());
  }

  private void applyChange(
      ProxyChange change, ChangedTables changedTables, ExclusionChanges exclusionChanges) {
    if (change instanceof ProxyChange.TableAssignment assignment) {
      assignedTables[assignment.requestClass().index()] = assignment.table();
      changedTables.replaced.add(assignment.table());
    } else if (change instanceof ProxyChange.RouteChange route) {
      applyRoute(route);
      changedTables
          .changedRoutes
          .computeIfAbsent(route.table(), id -> new ArrayList<>())
          .add(route);
    } else if (change instanceof ProxyChange.AdmissionLimitChange limit) {
      AdmissionLimit[] limitsOfTable =
          limitsByTable.computeIfAbsent(limit.table(), id -> new AdmissionLimit[requestClassCount]);
      limitsOfTable[limit.requestClass().index()] = limit.limit().orElse(null);
      if (limit.limit().isEmpty()) {
        // The protocol removes a limit only by replacing the table.
        changedTables.replaced.add(limit.table());
      }
    } else if (change instanceof ProxyChange.ExclusionChange exclusion) {
      exclusionChanges.add(exclusion.endpoint(), exclusion.excluded());
    }
  }

  private void applyRoute(ProxyChange.RouteChange route) {
    TreeMap<EndpointId, ProxyChange.RouteChange> routesOfTable =
        routesByTable.computeIfAbsent(
            route.table(), id -> new TreeMap<>(Comparator.comparing(EndpointId::name)));
    if (route.weight() > 0) {
      routesOfTable.put(route.endpoint(), route);
    } else {
      routesOfTable.remove(route.endpoint());
    }
  }

  /**
   * Adds parts that replace the routes of a table; the proxy then also removes the limits of the
   * request classes that use the table.
   */
  private void addReplacement(
      RouteTableId table, List<ConfigMessage.Part> parts, ExclusionChanges exclusionChanges) {
    BitSet usingClasses = classesUsing(table);
    if (usingClasses.isEmpty()) {
      return;
    }
    for (int k = 0; k < requestClassCount; k++) {
      sentLimits[k] = usingClasses.get(k) ? null : sentLimits[k];
    }
    List<ProxyChange.RouteChange> allRoutes =
        routesByTable.containsKey(table)
            ? List.copyOf(routesByTable.get(table).values())
            : List.of();
    addParts(usingClasses, true, allRoutes, parts);
    addExclusions(allRoutes, exclusionChanges);
  }

  /**
   * Adds parts with the changed routes of a table. A table that no request class uses is not sent
   * before it is assigned.
   */
  private void addRoutes(
      RouteTableId table,
      List<ProxyChange.RouteChange> changes,
      List<ConfigMessage.Part> parts,
      ExclusionChanges exclusionChanges) {
    BitSet usingClasses = classesUsing(table);
    if (usingClasses.isEmpty()) {
      return;
    }
    addParts(usingClasses, false, changes, parts);
    addExclusions(changes, exclusionChanges);
  }

  private BitSet classesUsing(RouteTableId table) {
    BitSet usingClasses = new BitSet(requestClassCount);
    for (int k = 0; k < requestClassCount; k++) {
      usingClasses.set(k, table.equals(assignedTables[k]));
    }
    return usingClasses;
  }

  private static void addParts(
      BitSet usingClasses,
      boolean replace,
      List<ProxyChange.RouteChange> changes,
      List<ConfigMessage.Part> parts) {
    int from = 0;
    do {
      int to = Math.min(from + MAX_ROUTES_PER_PART, changes.size());
      parts.add(
          new ConfigMessage.Part(
              usingClasses, replace && from == 0, changes.subList(from, to), Optional.empty()));
      from = to;
    } while (from < changes.size());
  }

  /**
   * Adds the exclusion state of the routed endpoints, because the state at the proxy may differ.
   */
  private void addExclusions(
      List<ProxyChange.RouteChange> changes, ExclusionChanges exclusionChanges) {
    for (ProxyChange.RouteChange route : changes) {
      if (route.weight() > 0) {
        exclusionChanges.add(route.endpoint(), tables.isExcluded(route.endpoint()));
      }
    }
  }

  /**
   * Removes the state of tables that no request class uses. Such a table is sent completely when it
   * is assigned again.
   */
  private void removeUnusedTables() {
    Set<RouteTableId> used = new HashSet<>(Arrays.asList(assignedTables));
    routesByTable.keySet().retainAll(used);
    used.add(Command.ALL_TABLES);
    limitsByTable.keySet().retainAll(used);
  }

  /** Adds the limits that differ from the sent ones; classes with equal limits share a part. */
  private void addLimits(List<ConfigMessage.Part> parts) {
    Map<AdmissionLimit, BitSet> changed = new LinkedHashMap<>();
    for (int k = 0; k < requestClassCount; k++) {
      AdmissionLimit limit = effectiveLimit(k);
      if (limit != null && !limit.equals(sentLimits[k])) {
        sentLimits[k] = limit;
        changed.computeIfAbsent(limit, key -> new BitSet(requestClassCount)).set(k);
      }
    }
    changed.forEach(
        (limit, classes) -> {
          if (parts.size() == 1 && parts.get(0).requestClasses().equals(classes)) {
            parts.set(0, parts.get(0).withLimit(limit));
          } else {
            parts.add(ConfigMessage.Part.ofLimit(classes, limit));
          }
        });
  }

  /**
   * Returns the limit that applies to a request class, or null if there is none. If the class has
   * both a limit of its table and a limit for all tables, the lower value applies, with the retry
   * policy of the table's limit.
   */
  private AdmissionLimit effectiveLimit(int requestClass) {
    AdmissionLimit tableLimit = limitOf(assignedTables[requestClass], requestClass);
    AdmissionLimit commonLimit = limitOf(Command.ALL_TABLES, requestClass);
    if (tableLimit == null || commonLimit == null) {
      return tableLimit == null ? commonLimit : tableLimit;
    }
    return new AdmissionLimit(
        Math.min(tableLimit.limit(), commonLimit.limit()), tableLimit.retryPolicy());
  }

  private AdmissionLimit limitOf(RouteTableId table, int requestClass) {
    AdmissionLimit[] limitsOfTable = limitsByTable.get(table);
    return limitsOfTable == null ? null : limitsOfTable[requestClass];
  }
}
