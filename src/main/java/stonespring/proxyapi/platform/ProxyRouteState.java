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
 * What one proxy holds by the updates of its session. The platform's protocol has a table for each
 * request class and no numbers of tables, one limit in place of a table's and that for all tables,
 * and exclusions that outlive the session; updates become its messages here, for the same number of
 * entries.
 */
final class ProxyRouteState {
  /** Keeps a line far below the longest that a proxy reads. */
  private static final int MAX_ROUTES_PER_PART = 512;

  private final int requestClassCount;
  private final RouteTables tables;
  private final ProxyExclusions exclusions;
  private final RouteTableId[] assignedTables;
  private final Map<RouteTableId, TreeMap<EndpointId, ProxyChange.RouteChange>> routesByTable =
      new HashMap<>();
  private final Map<RouteTableId, AdmissionLimit[]> limitsByTable = new HashMap<>();
  private final AdmissionLimit[] sentLimits;

  /** The tables that one update touches, in the order of its changes. */
  private static final class TouchedTables {
    private final Set<RouteTableId> replaced = new LinkedHashSet<>();
    private final Map<RouteTableId, List<ProxyChange.RouteChange>> changedRoutes =
        new LinkedHashMap<>();
  }

  /**
   * Creates the state of a new session.
   *
   * @param tables tells which endpoints are excluded
   */
  ProxyRouteState(int requestClassCount, RouteTables tables, ProxyExclusions exclusions) {
    this.requestClassCount = requestClassCount;
    this.tables = tables;
    this.exclusions = exclusions;
    this.assignedTables = new RouteTableId[requestClassCount];
    this.sentLimits = new AdmissionLimit[requestClassCount];
  }

  /** Applies an update, and returns what is to be sent; empty if the proxy would not change. */
  ConfigMessage apply(ProxyUpdate update) {
    ExclusionChanges exclusionChanges = new ExclusionChanges();
    TouchedTables touched = new TouchedTables();
    update.changes().forEach(change -> applyChange(change, touched, exclusionChanges));

    List<ConfigMessage.Part> parts = new ArrayList<>();
    touched.changedRoutes.forEach(
        (table, changes) -> {
          if (touched.replaced.contains(table)) {
            addReplacement(table, parts, exclusionChanges);
          } else {
            addRoutes(table, changes, parts, exclusionChanges);
          }
        });
    for (RouteTableId table : touched.replaced) {
      if (!touched.changedRoutes.containsKey(table)) {
        addReplacement(table, parts, exclusionChanges);
      }
    }
    removeUnusedTables();
    addLimits(parts);
    exclusions.apply(exclusionChanges);
    return new ConfigMessage(parts, exclusionChanges, update.ack());
  }

  private void applyChange(
      ProxyChange change, TouchedTables touched, ExclusionChanges exclusionChanges) {
    if (change instanceof ProxyChange.TableAssignment assignment) {
      assignedTables[assignment.requestClass().index()] = assignment.table();
      touched.replaced.add(assignment.table());
    } else if (change instanceof ProxyChange.RouteChange route) {
      applyRoute(route);
      touched.changedRoutes.computeIfAbsent(route.table(), id -> new ArrayList<>()).add(route);
    } else if (change instanceof ProxyChange.AdmissionLimitChange limit) {
      AdmissionLimit[] ofTable =
          limitsByTable.computeIfAbsent(limit.table(), id -> new AdmissionLimit[requestClassCount]);
      ofTable[limit.requestClass().index()] = limit.limit().orElse(null);
      if (limit.limit().isEmpty()) {
        touched.replaced.add(limit.table()); // nothing else makes a proxy forget a limit
      }
    } else if (change instanceof ProxyChange.ExclusionChange exclusion) {
      exclusionChanges.add(exclusion.endpoint(), exclusion.excluded());
    }
  }

  private void applyRoute(ProxyChange.RouteChange route) {
    TreeMap<EndpointId, ProxyChange.RouteChange> ofTable =
        routesByTable.computeIfAbsent(
            route.table(), id -> new TreeMap<>(Comparator.comparing(EndpointId::name)));
    if (route.weight() > 0) {
      ofTable.put(route.endpoint(), route);
    } else {
      ofTable.remove(route.endpoint());
    }
  }

  /** Adds all routes of a table; the proxy forgets its other routes and its limit. */
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

  /** Adds changed routes of a table; those of an unused one are sent when it is assigned. */
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

  /** A proxy may hold exclusions of its own for the endpoints that it gets a route to. */
  private void addExclusions(
      List<ProxyChange.RouteChange> changes, ExclusionChanges exclusionChanges) {
    for (ProxyChange.RouteChange route : changes) {
      if (route.weight() > 0) {
        exclusionChanges.add(route.endpoint(), tables.isExcluded(route.endpoint()));
      }
    }
  }

  /** Changes of an unused table are not sent: it is sent whole when it is assigned again. */
  private void removeUnusedTables() {
    Set<RouteTableId> used = new HashSet<>(Arrays.asList(assignedTables));
    routesByTable.keySet().retainAll(used);
    used.add(Command.ALL_TABLES);
    limitsByTable.keySet().retainAll(used);
  }

  /** Adds the limits that differ from what was sent; classes with equal limits share a part. */
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
   * The limit that holds for a request class, or null: the lower one of its table's and that for
   * all tables, with the table's own retry policy.
   */
  private AdmissionLimit effectiveLimit(int requestClass) {
    AdmissionLimit own = limitOf(assignedTables[requestClass], requestClass);
    AdmissionLimit common = limitOf(Command.ALL_TABLES, requestClass);
    if (own == null || common == null) {
      return own == null ? common : own;
    }
    return new AdmissionLimit(Math.min(own.limit(), common.limit()), own.retryPolicy());
  }

  private AdmissionLimit limitOf(RouteTableId table, int requestClass) {
    AdmissionLimit[] ofTable = limitsByTable.get(table);
    return ofTable == null ? null : ofTable[requestClass];
  }
}
