package stonespring.decision;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import stonespring.model.DeciMillis;
import stonespring.model.Settings;

/**
 * Selects and sends the table updates that cannot wait for a round: those of proxies that have no
 * route, a route to an endpoint that is not ready, or an unknown table.
 */
final class UrgentUpdates {
  /**
   * Time that an unknown table may stay in use: the time for which proxies may use endpoints that
   * went out of service, less the delivery time of a message.
   */
  private static final long UNKNOWN_TABLE_TIMEOUT_DECI_MILLIS = 17 * DeciMillis.SECOND / 10;

  private final Settings settings;
  private final EngineClock clock;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final ReportCadence cadence;
  private final ChannelBudget budget;
  private final ExclusionNotifier exclusions;
  private final Set<ProxyState> selected = new LinkedHashSet<>();

  /** Whether the channel has no room for exclusion notices, so that first tables replace them. */
  private boolean exclusionsDoNotFit;

  UrgentUpdates(
      Settings settings,
      EngineClock clock,
      EndpointRegistry endpoints,
      ProxyRegistry proxies,
      ReportCadence cadence,
      ChannelBudget budget,
      ExclusionNotifier exclusions) {
    this.settings = settings;
    this.clock = clock;
    this.endpoints = endpoints;
    this.proxies = proxies;
    this.cadence = cadence;
    this.budget = budget;
    this.exclusions = exclusions;
  }

  /**
   * Selects the updates that are due and that the channel has room for, and sends the exclusion
   * notices that are due.
   *
   * @return whether an update or a notice was postponed
   */
  boolean selectDueUpdates() {
    selected.clear();
    boolean anyNotReady = endpoints.notReady().findAny().isPresent();
    exclusionsDoNotFit = anyNotReady && !exclusions.hasRoomForNotices();
    boolean postponed = false;
    for (ProxyState proxy : proxies.all()) {
      boolean due = isDue(proxy);
      if (due && hasRoom(proxy)) {
        selected.add(proxy);
      } else {
        postponed |= due;
        requestExclusions(proxy);
      }
    }
    exclusions.sendNoticesIfDue(anyNotReady && !exclusionsDoNotFit);
    return postponed || exclusions.areNoticesPending();
  }

  /**
   * Requests exclusion notices once for each connection of a proxy that may hold unknown tables.
   */
  private void requestExclusions(ProxyState proxy) {
    if (proxy.mayHoldUnknownTables() && !proxy.areExclusionsRequested()) {
      exclusions.requestNotices();
      proxy.markExclusionsRequested();
    }
  }

  /**
   * Returns whether a proxy needs an update now. Proxies of sharded fleets never do: they keep the
   * tables that are stored for their shards.
   */
  private boolean isDue(ProxyState proxy) {
    if (!proxy.isConnected() || settings.fleet().sharded()) {
      return false;
    }
    return proxy.isTableAssigned() ? proxy.table().isBroken() : isFirstTableDue(proxy);
  }

  /**
   * Returns whether the first table of this instance is due at a proxy. It replaces all routes that
   * the proxy holds, bootstrap routes included, so it is never due without a usable endpoint list:
   * it would have no route, and the routes that it replaces may all work.
   */
  private boolean isFirstTableDue(ProxyState proxy) {
    return endpoints.isListUsable()
        && (proxy.isWithoutTables() || cadence.hasEnoughRounds() || isOverdue(proxy));
  }

  /**
   * Returns whether an unknown table must be replaced before there were enough rounds. Tables from
   * before the start of this instance are kept during the first rounds, but only for a limited
   * time, because all endpoints of such a table may be out of service. They may also have gone out
   * of service around the time when the previous instance process died, so that the endpoint list
   * no longer shows them.
   *
   * <p>The limit does not depend on reports: proxies whose tables have no route make no attempts,
   * so that no report about them ever arrives and no round starts. While no endpoint is known,
   * there is nothing to replace a table with.
   */
  private boolean isOverdue(ProxyState proxy) {
    long connectedForDeciMillis = clock.since(proxy.connectedAt());
    boolean anyEndpointKnown = endpoints.size() > 0;
    return exclusionsDoNotFit
        || anyEndpointKnown
            && connectedForDeciMillis > settings.routing().maxTimeWithoutEndpoint() / 2
        || cadence.hasStartedRound() && connectedForDeciMillis > UNKNOWN_TABLE_TIMEOUT_DECI_MILLIS;
  }

  private boolean hasRoom(ProxyState proxy) {
    return budget.hasRoomForUrgentUpdate(proxy, exclusionsDoNotFit);
  }

  void add(ProxyState proxy) {
    selected.add(proxy);
  }

  boolean contains(ProxyState proxy) {
    return selected.contains(proxy);
  }

  boolean isEmpty() {
    return selected.isEmpty();
  }

  /**
   * Sends the selected tables while the channel has room; updates of tables in use come before
   * first tables.
   */
  void sendSelected(TableUpdater updater) {
    List<ProxyState> assignedTablesFirst =
        selected.stream().sorted(Comparator.comparing(proxy -> !proxy.isTableAssigned())).toList();
    for (ProxyState proxy : assignedTablesFirst) {
      if (hasRoom(proxy)) {
        updater.sendTable(proxy, 1);
      }
    }
  }
}
