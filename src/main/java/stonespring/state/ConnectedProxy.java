package stonespring.state;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;

/**
 * What was sent to one connected proxy: its tables, by request class, and the limits for all
 * tables.
 */
final class ConnectedProxy {
  private final ProxyId id;
  private final RouteTableId[] assignedTables;
  private final AdmissionLimit[] limitsForAllTables;
  private final Optional<Set<EndpointId>> initialEndpoints;

  /**
   * Creates a proxy without tables of this instance.
   *
   * @param initialEndpoints the endpoints that the tables it brought along name; empty if unknown
   */
  ConnectedProxy(ProxyId id, int requestClassCount, Optional<List<EndpointId>> initialEndpoints) {
    this.id = id;
    this.assignedTables = new RouteTableId[requestClassCount];
    this.limitsForAllTables = new AdmissionLimit[requestClassCount];
    this.initialEndpoints = initialEndpoints.map(HashSet::new);
  }

  ProxyId id() {
    return id;
  }

  /** The table that it uses for a request class; null for one that it brought along. */
  RouteTableId assignedTable(int requestClass) {
    return assignedTables[requestClass];
  }

  void assignTable(int requestClass, RouteTableId table) {
    assignedTables[requestClass] = table;
  }

  boolean uses(RouteTableId table) {
    for (RouteTableId used : assignedTables) {
      if (table.equals(used)) {
        return true;
      }
    }
    return false;
  }

  /** Whether it may use the endpoint by a table that it brought along. */
  boolean mayUseByInitialTable(EndpointId endpoint) {
    for (RouteTableId used : assignedTables) {
      if (used == null) {
        return initialEndpoints.map(endpoints -> endpoints.contains(endpoint)).orElse(true);
      }
    }
    return false;
  }

  /** Replaces a limit for all tables; false if it equals the last one sent. */
  boolean replaceLimitForAllTablesIfDifferent(int requestClass, AdmissionLimit limit) {
    if (limit.equals(limitsForAllTables[requestClass])) {
      return false;
    }
    limitsForAllTables[requestClass] = limit;
    return true;
  }
}
