package stonespring.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RouteTableId;

/**
 * Converts commands of the decision engine to updates for the affected proxies. It holds the route
 * tables, admission limits and exclusions that the engine commanded, and the assignment of tables
 * to connected proxies; it makes no decisions of its own. A command costs one entry at each
 * affected proxy, with two exceptions: clearing a table costs one entry for each removed route and
 * limit, and assigning a table that the proxy does not use yet costs one additional entry for each
 * route, exclusion and limit sent with it. Not thread-safe.
 */
public final class RouteTables {
  private final int requestClassCount;
  private final TreeMap<Integer, ConnectedProxy> proxies = new TreeMap<>();
  private final Map<Integer, StoredTable> tables = new TreeMap<>();
  private final Set<EndpointId> excludedEndpoints = new HashSet<>();
  private final AdmissionLimit[] limitsForAllTables;

  /**
   * Creates an empty state.
   *
   * @param requestClassCount number of request classes in the settings
   */
  public RouteTables(int requestClassCount) {
    this.requestClassCount = requestClassCount;
    this.limitsForAllTables = new AdmissionLimit[requestClassCount];
  }

  /**
   * Adds a proxy that connected; it has no assigned table yet.
   *
   * @param tableEndpoints the endpoints in the tables that the proxy already holds; empty if they
   *     are unknown
   */
  public void addProxy(ProxyId proxy, Optional<List<EndpointId>> tableEndpoints) {
    removeProxy(proxy);
    proxies.put(proxy.number(), new ConnectedProxy(proxy, requestClassCount, tableEndpoints));
  }

  /** Removes a proxy whose connection ended; does nothing if the proxy is unknown. */
  public void removeProxy(ProxyId id) {
    ConnectedProxy proxy = proxies.remove(id.number());
    if (proxy == null) {
      return;
    }
    for (int k = 0; k < requestClassCount; k++) {
      if (proxy.assignedTable(k) != null) {
        getOrCreateTable(proxy.assignedTable(k)).proxyNumbers().remove(id.number());
      }
    }
  }

  /** Whether an endpoint is excluded. */
  public boolean isExcluded(EndpointId endpoint) {
    return excludedEndpoints.contains(endpoint);
  }

  /** Ends the exclusion of an endpoint without an update, once no proxy can use the endpoint. */
  public void discardExclusion(EndpointId endpoint) {
    excludedEndpoints.remove(endpoint);
  }

  /**
   * Applies the commands of an event batch.
   *
   * @param now when the engine returned the commands, {@link stonespring.model.DeciMillis}
   * @return an update for each affected proxy, in the order in which the commands first affect them
   */
  public List<ProxyUpdate> apply(List<Command> commands, long now) {
    BatchUpdates updates = new BatchUpdates();
    Optional<AckId> ack = Optional.empty();
    boolean ackFromEveryProxy = false;
    for (Command command : commands) {
      if (command instanceof Command.RequestAck request) {
        ack = Optional.of(request.ack());
        ackFromEveryProxy = request.everyProxy();
      } else {
        apply(command, updates);
      }
    }
    if (ackFromEveryProxy) {
      proxies.values().forEach(proxy -> updates.forProxy(proxy));
    }
    return updates.build(ack, now);
  }

  private void apply(Command command, BatchUpdates updates) {
    if (command instanceof Command.SetRoute route) {
      setRoute(route, updates);
    } else if (command instanceof Command.ClearRouteTable clear) {
      clearTable(clear.table(), updates);
    } else if (command instanceof Command.AssignRouteTable assignment) {
      assignTable(assignment, updates);
    } else if (command instanceof Command.ExcludeEndpoint exclusion) {
      excludeEndpoint(exclusion, updates);
    } else if (command instanceof Command.LimitAdmission limit) {
      limitAdmission(limit, updates);
    }
  }

  private void setRoute(Command.SetRoute command, BatchUpdates updates) {
    StoredTable table = getOrCreateTable(command.table());
    double weight = command.weight() > 0 ? command.weight() : 0;
    if (weight > 0) {
      table.weights().put(command.endpoint(), weight);
    } else {
      table.weights().remove(command.endpoint());
    }
    for (int proxyNumber : table.proxyNumbers()) {
      updates.forProxy(proxyNumber).addCounted(routeChange(table, command.endpoint(), weight));
    }
  }

  private void clearTable(RouteTableId id, BatchUpdates updates) {
    StoredTable table = getOrCreateTable(id);
    List<EndpointId> endpoints = List.copyOf(table.weights().keySet());
    List<Integer> limitedClasses = limitedRequestClasses(table);
    table.clear();
    if (endpoints.isEmpty() && limitedClasses.isEmpty()) {
      return; // nothing changes, so the proxies that use the table get no update
    }
    for (int proxyNumber : table.proxyNumbers()) {
      ProxyUpdateBuilder update = updates.forProxy(proxyNumber);
      endpoints.forEach(endpoint -> update.addCounted(routeChange(table, endpoint, 0)));
      limitedClasses.forEach(k -> update.addCounted(table.limitChange(k)));
    }
  }

  private void assignTable(Command.AssignRouteTable command, BatchUpdates updates) {
    ConnectedProxy proxy = proxies.get(command.proxy().number());
    if (proxy == null) {
      return; // the proxy disconnected before the command
    }
    boolean usedBefore = proxy.uses(command.table());
    ProxyUpdateBuilder update = updates.forProxy(proxy);
    for (int k = 0; k < requestClassCount; k++) {
      if (isInMask(command.requestClassMask(), k)) {
        RouteTableId previous = proxy.assignedTable(k);
        proxy.assignTable(k, command.table());
        if (previous != null && !proxy.uses(previous)) {
          removeFromTable(proxy, getOrCreateTable(previous), update);
        }
        update.addUncounted(
            new ProxyChange.TableAssignment(new RequestClassId(k), command.table()));
      }
    }
    update.countEntry();
    StoredTable table = getOrCreateTable(command.table());
    table.proxyNumbers().add(proxy.id().number());
    if (!usedBefore) {
      addTableContent(table, update);
    }
  }

  private static void removeFromTable(
      ConnectedProxy proxy, StoredTable table, ProxyUpdateBuilder update) {
    table.proxyNumbers().remove(proxy.id().number());
    for (EndpointId endpoint : table.weights().keySet()) {
      update.addUncounted(routeChange(table, endpoint, 0));
    }
  }

  private void addTableContent(StoredTable table, ProxyUpdateBuilder update) {
    for (Map.Entry<EndpointId, Double> route : table.weights().entrySet()) {
      EndpointId endpoint = route.getKey();
      update.addCounted(routeChange(table, endpoint, route.getValue()));
      if (excludedEndpoints.contains(endpoint)) {
        update.addCounted(new ProxyChange.ExclusionChange(endpoint, true));
      }
    }
    limitedRequestClasses(table).forEach(k -> update.addCounted(table.limitChange(k)));
  }

  private void excludeEndpoint(Command.ExcludeEndpoint command, BatchUpdates updates) {
    EndpointId endpoint = command.endpoint();
    if (command.excluded()) {
      excludedEndpoints.add(endpoint);
    } else {
      excludedEndpoints.remove(endpoint);
    }
    for (ConnectedProxy proxy : proxies.values()) {
      if (proxy.mayUseThroughInitialTable(endpoint) || hasRouteTo(proxy, endpoint)) {
        updates
            .forProxy(proxy)
            .addCounted(new ProxyChange.ExclusionChange(endpoint, command.excluded()));
      }
    }
  }

  private boolean hasRouteTo(ConnectedProxy proxy, EndpointId endpoint) {
    for (int k = 0; k < requestClassCount; k++) {
      RouteTableId assigned = proxy.assignedTable(k);
      if (assigned != null && getOrCreateTable(assigned).hasRouteTo(endpoint)) {
        return true;
      }
    }
    return false;
  }

  private void limitAdmission(Command.LimitAdmission command, BatchUpdates updates) {
    AdmissionLimit limit = new AdmissionLimit(command.limit(), command.retryPolicy());
    if (command.table().equals(Command.ALL_TABLES)) {
      for (int k = 0; k < requestClassCount; k++) {
        if (isInMask(command.requestClassMask(), k)) {
          limitsForAllTables[k] = limit;
        }
      }
      // addPendingLimitsForAllTables adds the changes when the updates are built.
      proxies.values().forEach(proxy -> updates.forProxy(proxy).countEntry());
      return;
    }
    StoredTable table = getOrCreateTable(command.table());
    for (int k = 0; k < requestClassCount; k++) {
      if (isInMask(command.requestClassMask(), k)) {
        table.setLimit(k, limit);
      }
    }
    for (int proxyNumber : table.proxyNumbers()) {
      ProxyUpdateBuilder update = updates.forProxy(proxyNumber);
      update.countEntry();
      for (int k = 0; k < requestClassCount; k++) {
        if (isInMask(command.requestClassMask(), k)) {
          update.addUncounted(table.limitChange(k));
        }
      }
    }
  }

  /**
   * Adds those limits for all tables that the proxy does not have yet. This happens when an update
   * is built rather than when the command is applied, so that the next update of any kind delivers
   * them to a proxy that connected after the command.
   */
  private void addPendingLimitsForAllTables(ConnectedProxy proxy, ProxyUpdateBuilder update) {
    for (int k = 0; k < requestClassCount; k++) {
      AdmissionLimit limit = limitsForAllTables[k];
      if (limit != null && proxy.replaceLimitForAllTablesIfDifferent(k, limit)) {
        update.addUncounted(
            new ProxyChange.AdmissionLimitChange(
                Command.ALL_TABLES, new RequestClassId(k), Optional.of(limit)));
      }
    }
  }

  private StoredTable getOrCreateTable(RouteTableId id) {
    return tables.computeIfAbsent(id.number(), number -> new StoredTable(id, requestClassCount));
  }

  private List<Integer> limitedRequestClasses(StoredTable table) {
    List<Integer> limitedClasses = new ArrayList<>();
    for (int k = 0; k < requestClassCount; k++) {
      if (table.limit(k).isPresent()) {
        limitedClasses.add(k);
      }
    }
    return limitedClasses;
  }

  private static boolean isInMask(int requestClassMask, int requestClass) {
    return requestClassMask == 0 || (requestClassMask >> requestClass & 1) == 1;
  }

  private static ProxyChange routeChange(StoredTable table, EndpointId endpoint, double weight) {
    return new ProxyChange.RouteChange(table.id(), endpoint, weight);
  }

  /**
   * The updates of one event batch, in the order in which its commands first affect the proxies.
   */
  private final class BatchUpdates {
    private final Map<Integer, ProxyUpdateBuilder> builders = new LinkedHashMap<>();

    ProxyUpdateBuilder forProxy(ConnectedProxy proxy) {
      return builders.computeIfAbsent(
          proxy.id().number(), number -> new ProxyUpdateBuilder(proxy.id()));
    }

    ProxyUpdateBuilder forProxy(int proxyNumber) {
      return forProxy(proxies.get(proxyNumber));
    }

    /**
     * Builds the updates. Each update also gets those limits for all tables that its proxy does not
     * have yet.
     */
    List<ProxyUpdate> build(Optional<AckId> ack, long now) {
      List<ProxyUpdate> updates = new ArrayList<>();
      for (Map.Entry<Integer, ProxyUpdateBuilder> entry : builders.entrySet()) {
        addPendingLimitsForAllTables(proxies.get(entry.getKey()), entry.getValue());
        updates.add(entry.getValue().build(ack, now));
      }
      return updates;
    }
  }
}
