package stonespring.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stonespring.model.Command;
import stonespring.model.Settings;

/**
 * Collects the commands of the current batch, and counts the channel entries that they cost at each
 * proxy.
 */
final class CommandBatch {
  /** Entries that the assignment of a table costs in addition to its routes. */
  private static final int ASSIGNMENT_OVERHEAD_ENTRIES = 3;

  private final Settings.ChannelLimits limits;
  private final List<Command> localCommands = new ArrayList<>();
  private final List<Command> restrictions = new ArrayList<>();
  private final List<Command> routes = new ArrayList<>();
  private final List<Command> assignments = new ArrayList<>();
  private final Map<ProxyState, Integer> entriesByProxy = new LinkedHashMap<>();
  private double entries;

  CommandBatch(Settings.ChannelLimits limits) {
    this.limits = limits;
  }

  /** Adds a command that the host executes without sending anything to a proxy. */
  void addLocal(Command command) {
    localCommands.add(command);
  }

  /**
   * Adds an exclusion. The caller counts its entries, since an exclusion does not concern every
   * proxy.
   */
  void addExclusion(Command.ExcludeEndpoint command) {
    restrictions.add(command);
  }

  /** Adds admission limits for all tables; each limit costs an entry at each connected proxy. */
  void addAdmissionLimits(
      List<Command.LimitAdmission> admissionLimits, Collection<ProxyState> proxies) {
    restrictions.addAll(admissionLimits);
    for (ProxyState proxy : proxies) {
      if (proxy.isConnected()) {
        countEntries(proxy, admissionLimits.size());
      }
    }
  }

  /** Adds a route change. It costs an entry only if the proxy already uses the table. */
  void setRoute(ProxyState proxy, EndpointState endpoint, double weight) {
    routes.add(new Command.SetRoute(proxy.tableId(), endpoint.id(), weight));
    if (proxy.isTableAssigned()) {
      countEntries(proxy, 1);
    }
  }

  /** Adds the assignment of a proxy's table, which sends all its routes to the proxy. */
  void assignTable(ProxyState proxy) {
    assignments.add(new Command.AssignRouteTable(proxy.tableId(), proxy.id(), 0));
    int routeCount = proxy.table().appliedCount();
    boolean mayExclude = limits.proxyTablesUnknown() && !proxy.isWithoutTables();
    countEntries(proxy, ASSIGNMENT_OVERHEAD_ENTRIES + (mayExclude ? 2 * routeCount : routeCount));
  }

  /** Counts entries at a proxy, and the overhead of a message with the first of them. */
  void countEntries(ProxyState proxy, int count) {
    Integer before = entriesByProxy.put(proxy, entriesFor(proxy) + count);
    entries += count + (before == null ? messageOverhead() : 0);
  }

  /**
   * Returns the entries that a message costs in addition to its content, including the
   * acknowledgement request.
   */
  int messageOverhead() {
    return 1 + limits.messageOverheadEntries();
  }

  /** Entries counted at a proxy, without the overhead of its message. */
  int entriesFor(ProxyState proxy) {
    return entriesByProxy.getOrDefault(proxy, 0);
  }

  /** Entries counted at all proxies, with the overhead of their messages. */
  double entries() {
    return entries;
  }

  /** The proxies to which the batch sends a message. */
  Set<ProxyState> proxies() {
    return entriesByProxy.keySet();
  }

  /** Removes all commands, and returns them in the order in which they must be executed. */
  List<Command> takeCommands() {
    List<Command> commands = new ArrayList<>();
    for (List<Command> group : List.of(localCommands, restrictions, routes, assignments)) {
      commands.addAll(group);
      group.clear();
    }
    return commands;
  }

  /** Resets the entry counts for the next batch. */
  void clearEntries() {
    entries = 0;
    entriesByProxy.clear();
  }
}
