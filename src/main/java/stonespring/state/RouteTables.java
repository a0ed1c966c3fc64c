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
 * Turns commands of the decisions into updates for the proxies that they concern. It decides
 * nothing: it holds the route tables, admission limits and exclusions that were commanded, and
 * knows which connected proxy uses which table. A command costs one entry at each proxy that it
 * concerns. Not safe for several threads.
 */
public final class RouteTables {
  private final int requestClasses;
  private final TreeMap<Integer, ConnectedProxy> proxies = new TreeMap<>();
  private final Map<Integer, StoredTable> tables = new TreeMap<>();
  private final Set<EndpointId> excluded = new HashSet<>();
  private final AdmissionLimit[] limitsForAllTables;

  /**
   * Creates an empty state.
   *
   * @param requestClasses how many request classes the settings have
   */
  public RouteTables(int requestClasses) {
    this.requestClasses = requestClasses;
    this.limitsForAllTables = new AdmissionLimit[requestClasses];
  }

  /**
   * A proxy connected; no table is assigned to it yet.
   *
   * @param tableEndpoints the endpoints that the tables it brought along name; empty if unknown
   */
  public void addProxy(ProxyId proxy, Optional<List<EndpointId>> tableEndpoints) {
    removeProxy(proxy);
    proxies.put(proxy.number(), new ConnectedProxy(proxy, requestClasses, tableEndpoints));
  }

  /** A proxy's connection ended; unknown proxies are ignored. */
  public void removeProxy(ProxyId id) {
    ConnectedProxy proxy = proxies.remove(id.number());
    if (proxy == null) {
      return;
    }
    for (int k = 0; k < requestClasses; k++) {
      if (proxy.assigned(k) != null) {
        table(proxy.assigned(k)).users().remove(id.number());
      }
    }
  }

  /** Whether an endpoint is excluded now. */
  public boolean isExcluded(EndpointId endpoint) {
    return excluded.contains(endpoint);
  }

  /** Ends the exclusion of an endpoint that no proxy holds any more, without an update. */
  public void discardExclusion(EndpointId endpoint) {
    excluded.remove(endpoint);
  }

  /**
   * Applies the commands of an event batch.
   *
   * @return an update for each proxy concerned, in the order in which they were reached
   */
  public List<ProxyUpdate> apply(List<Command> commands, long now) {
    Updates updates = new Updates();
    Optional<AckId> ack = Optional.empty();
    boolean ackFromAll = false;
    for (Command command : commands) {
      if (command instanceof Command.RequestAck request) {
        ack = Optional.of(request.ack());
        ackFromAll = request.everyProxy();
      } else {
        apply(command, updates);
      }
    }
    if (ackFromAll) {
      proxies.values().forEach(proxy -> updates.of(proxy));
    }
    return updates.build(ack, now);
  }

  private void apply(Command command, Updates updates) {
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

  private void setRoute(Command.SetRoute command, Updates updates) {
    StoredTable table = table(command.table());
    double weight = command.weight() > 0 ? command.weight() : 0;
    if (weight > 0) {
      table.weights().put(command.endpoint(), weight);
    } else {
      table.weights().remove(command.endpoint());
    }
    for (int user : table.users()) {
      updates.of(user).addCounted(routeChange(table, command.endpoint(), weight));
    }
  }

  private void clearTable(RouteTableId id, Updates updates) {
    StoredTable table = table(id);
    List<EndpointId> endpoints = List.copyOf(table.weights().keySet());
    List<Integer> limited = limitedClasses(table);
    table.clear();
    if (endpoints.isEmpty() && limited.isEmpty()) {
      return; // nothing changes: the table's users get no update
    }
    for (int user : table.users()) {
      ProxyUpdateBuilder update = updates.of(user);
      endpoints.forEach(endpoint -> update.addCounted(routeChange(table, endpoint, 0)));
      limited.forEach(k -> update.addCounted(table.limitChange(k)));
    }
  }

  private void assignTable(Command.AssignRouteTable command, Updates updates) {
    ConnectedProxy proxy = proxies.get(command.proxy().number());
    if (proxy == null) {
      return; // it disconnected before the command
    }
    boolean usedBefore = proxy.uses(command.table());
    ProxyUpdateBuilder update = updates.of(proxy);
    for (int k = 0; k < requestClasses; k++) {
      if (masked(command.requestClassMask(), k)) {
        RouteTableId previous = proxy.assigned(k);
        proxy.assign(k, command.table());
        if (previous != null && !proxy.uses(previous)) {
          dropTable(proxy, table(previous), update);
        }
        update.addUncounted(
            new ProxyChange.TableAssignment(new RequestClassId(k), command.table()));
      }
    }
    update.countEntry();
    StoredTable table = table(command.table());
    table.users().add(proxy.id().number());
    if (!usedBefore) {
      sendTable(table, update);
    }
  }

  private static void dropTable(
      ConnectedProxy proxy, StoredTable table, ProxyUpdateBuilder update) {
    table.users().remove(proxy.id().number());
    for (EndpointId endpoint : table.weights().keySet()) {
      update.addUncounted(routeChange(table, endpoint, 0));
    }
  }

  private void sendTable(StoredTable table, ProxyUpdateBuilder update) {
    for (Map.Entry<EndpointId, Double> route : table.weights().entrySet()) {
      EndpointId endpoint = route.getKey();
      update.addCounted(routeChange(table, endpoint, route.getValue()));
      if (excluded.contains(endpoint)) {
        update.addCounted(new ProxyChange.ExclusionChange(endpoint, true));
      }
    }
    limitedClasses(table).forEach(k -> update.addCounted(table.limitChange(k)));
  }

  private void excludeEndpoint(Command.ExcludeEndpoint command, Updates updates) {
    EndpointId endpoint = command.endpoint();
    if (command.excluded()) {
      excluded.add(endpoint);
    } else {
      excluded.remove(endpoint);
    }
    for (ConnectedProxy proxy : proxies.values()) {
      if (proxy.mayUseInitially(endpoint) || hasRouteTo(proxy, endpoint)) {
        updates.of(proxy).addCounted(new ProxyChange.ExclusionChange(endpoint, command.excluded()));
      }
    }
  }

  private boolean hasRouteTo(ConnectedProxy proxy, EndpointId endpoint) {
    for (int k = 0; k < requestClasses; k++) {
      RouteTableId assigned = proxy.assigned(k);
      if (assigned != null && table(assigned).hasRouteTo(endpoint)) {
        return true;
      }
    }
    return false;
  }

  private void limitAdmission(Command.LimitAdmission command, Updates updates) {
    AdmissionLimit limit = new AdmissionLimit(command.limit(), command.retryPolicy());
    if (command.table().equals(Command.ALL_TABLES)) {
      for (int k = 0; k < requestClasses; k++) {
        if (masked(command.requestClassMask(), k)) {
          limitsForAllTables[k] = limit;
        }
      }
      // The changes themselves are added late, see addPendingGlobalLimits.
      proxies.values().forEach(proxy -> updates.of(proxy).countEntry());
      return;
    }
    StoredTable table = table(command.table());
    for (int k = 0; k < requestClasses; k++) {
      if (masked(command.requestClassMask(), k)) {
        table.setLimit(k, limit);
      }
    }
    for (int user : table.users()) {
      ProxyUpdateBuilder update = updates.of(user);
      update.countEntry();
      for (int k = 0; k < requestClasses; k++) {
        if (masked(command.requestClassMask(), k)) {
          update.addUncounted(table.limitChange(k));
        }
      }
    }
  }

  /**
   * Adds the limits for all tables that the proxy does not have yet. This happens late, when an
   * update is built, so that any update brings them to a proxy that connected after the command.
   */
  private void addPendingGlobalLimits(ConnectedProxy proxy, ProxyUpdateBuilder update) {
    for (int k = 0; k < requestClasses; k++) {
      AdmissionLimit limit = limitsForAllTables[k];
      if (limit != null && proxy.replaceLimitIfDifferent(k, limit)) {
        update.addUncounted(
            new ProxyChange.AdmissionLimitChange(
                Command.ALL_TABLES, new RequestClassId(k), Optional.of(limit)));
      }
    }
  }

  private StoredTable table(RouteTableId id) {
    return tables.computeIfAbsent(id.number(), number -> new StoredTable(id, requestClasses));
  }

  private List<Integer> limitedClasses(StoredTable table) {
    List<Integer> limited = new ArrayList<>();
    for (int k = 0; k < requestClasses; k++) {
      if (table.limit(k).isPresent()) {
        limited.add(k);
      }
    }
    return limited;
  }

  private static boolean masked(int requestClassMask, int requestClass) {
    return requestClassMask == 0 || (requestClassMask >> requestClass & 1) == 1;
  }

  private static ProxyChange routeChange(StoredTable table, EndpointId endpoint, double weight) {
    return new ProxyChange.RouteChange(table.id(), endpoint, weight);
  }

  /** The updates of one event batch, by the order in which its proxies were reached. */
  private final class Updates {
    private final Map<Integer, ProxyUpdateBuilder> builders = new LinkedHashMap<>();

    ProxyUpdateBuilder of(ConnectedProxy proxy) {
      return builders.computeIfAbsent(
          proxy.id().number(), number -> new ProxyUpdateBuilder(proxy.id()));
    }

    ProxyUpdateBuilder of(int proxyNumber) {
      return of(proxies.get(proxyNumber));
    }

    /** Adds the pending global limits to each update, and completes it. */
    List<ProxyUpdate> build(Optional<AckId> ack, long now) {
      List<ProxyUpdate> updates = new ArrayList<>();
      for (Map.Entry<Integer, ProxyUpdateBuilder> entry : builders.entrySet()) {
        addPendingGlobalLimits(proxies.get(entry.getKey()), entry.getValue());
        updates.add(entry.getValue().build(ack, now));
      }
      return updates;
    }
  }
}
