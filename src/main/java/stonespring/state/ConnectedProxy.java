package stonespring.state;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;

/**
 * What this instance has sent to one connected proxy: the table of each request class, and the
 * limits that apply to all tables.
 */
final class ConnectedProxy {
  private final ProxyId id;
  private final RouteTableId[] assignedTables;
  private final AdmissionLimit[] limitsForAllTables;
  private final Optional<Set<EndpointId>> initialEndpoints;

  /**
   * Creates a proxy to which this instance has assigned no table yet.
   *
   * @param initialEndpoints the endpoints in the tables that the proxy held when it connected;
   *     empty if they are unknown
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

  /**
   * Returns the table assigned for a request class; null if the proxy still uses the table that it
   * held when it connected.
   */
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

  /** Whether the proxy may use the endpoint through a table that it held when it connected. */
  boolean mayUseThroughInitialTable(EndpointId endpoint) {
    for (RouteTableId used : assignedTables) {
      if (used == null) {
        return initialEndpoints.map(endpoints -> endpoints.contains(endpoint)).orElse(true);
      }
    }
    return false;
  }

  /**
   * Replaces the limit that applies to a request class in all tables.
   *
   * @return false if the limit equals the last one sent, so that nothing changes
   */
  boolean replaceLimitForAllTablesIfDifferent(int requestClass, AdmissionLimit limit) {
    if (limit.equals(limitsForAllTables[requestClass])) {
      return false;
    }
    limitsForAllTables[requestClass] = limit;
    return true;
  }
}
