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
 * The commands of the batch that is handled, and the channel entries that they cost at each proxy.
 */
final class CommandBatch {
  /** Entries of a table's assignment besides its routes. */
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

  /** Adds a command that reaches no proxy. */
  void addLocal(Command command) {
    localCommands.add(command);
  }

  /** Adds an exclusion; its entries are counted apart, as it does not concern every proxy. */
  void addExclusion(Command.ExcludeEndpoint command) {
    restrictions.add(command);
  }

  /** Adds admission limits for all tables; each is an entry at each connected proxy. */
  void addAdmissionLimits(
      List<Command.LimitAdmission> admissionLimits, Collection<ProxyState> proxies) {
    restrictions.addAll(admissionLimits);
    for (ProxyState proxy : proxies) {
      if (proxy.isConnected()) {
        countEntries(proxy, admissionLimits.size());
      }
    }
  }

  /** Sets a route; at the proxy it is an entry only if the proxy uses the table already. */
  void setRoute(ProxyState proxy, EndpointState endpoint, double weight) {
    routes.add(new Command.SetRoute(proxy.tableId(), endpoint.id(), weight));
    if (proxy.isTableAssigned()) {
      countEntries(proxy, 1);
    }
  }

  /** Has a proxy use its table, which sends it all routes. */
  void assignTable(ProxyState proxy) {
    assignments.add(new Command.AssignRouteTable(proxy.tableId(), proxy.id(), 0));
    int routeCount = proxy.table().appliedCount();
    boolean mayExclude = limits.proxyTablesUnknown() && !proxy.isWithoutTables();
    countEntries(proxy, ASSIGNMENT_OVERHEAD_ENTRIES + (mayExclude ? 2 * routeCount : routeCount));
  }

  /** Counts entries at a proxy, and a message's overhead with the first of them. */
  void countEntries(ProxyState proxy, int count) {
    Integer before = entriesByProxy.put(proxy, entriesFor(proxy) + count);
    entries += count + (before == null ? messageOverhead() : 0);
  }

  /** Entries that a message costs besides its content: its acknowledgement request is one. */
  int messageOverhead() {
    return 1 + limits.messageOverheadEntries();
  }

  /** Entries counted at a proxy, without its message's overhead. */
  int entriesFor(ProxyState proxy) {
    return entriesByProxy.getOrDefault(proxy, 0);
  }

  /** Entries counted at all proxies, with the overhead of their messages. */
  double entries() {
    return entries;
  }

  /** The proxies that the batch reaches. */
  Set<ProxyState> proxies() {
    return entriesByProxy.keySet();
  }

  /** Removes and returns the commands in the order in which they must be carried out. */
  List<Command> takeCommands() {
    List<Command> commands = new ArrayList<>();
    for (List<Command> group : List.of(localCommands, restrictions, routes, assignments)) {
      commands.addAll(group);
      group.clear();
    }
    return commands;
  }

  /** Starts the next batch. */
  void clearEntries() {
    entries = 0;
    entriesByProxy.clear();
  }
}
