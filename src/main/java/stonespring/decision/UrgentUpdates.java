package stonespring.decision;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import stonespring.model.DeciMillis;
import stonespring.model.Settings;

/**
 * The proxies whose tables cannot wait for a round: they hold no route, or one to an endpoint that
 * left, or their table is unknown.
 */
final class UrgentUpdates {
  /** DeciMillis; the time that proxies allow for what left, less a message's way. */
  private static final long UNKNOWN_TABLE_TIMEOUT_DECI_MILLIS = 17 * DeciMillis.SECOND / 10;

  private final Settings settings;
  private final EngineClock clock;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final ReportCadence cadence;
  private final ChannelBudget budget;
  private final ExclusionNotifier exclusions;
  private final Set<ProxyState> selected = new LinkedHashSet<>();
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
      boolean due = isDue(proxy, anyNotReady);
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

  /** Has a proxy told, once after it connected, what its unknown table must not use. */
  private void requestExclusions(ProxyState proxy) {
    if (proxy.mayHoldUnknownTables() && !proxy.areExclusionsRequested()) {
      exclusions.requestNotices();
      proxy.markExclusionsRequested();
    }
  }

  /** Tables of shards stand as they are stored. */
  private boolean isDue(ProxyState proxy, boolean anyNotReady) {
    if (!proxy.isConnected() || settings.fleet().sharded()) {
      return false;
    }
    return proxy.isTableAssigned()
        ? proxy.table().isBroken()
        : proxy.isWithoutTables() || cadence.hasEnoughRounds() || isOverdue(proxy, anyNotReady);
  }

  /**
   * Tables from before a start stand for the first rounds, but not for long: all that one names may
   * have left, or be about to as this instance's predecessor died, and no list tells of it.
   */
  private boolean isOverdue(ProxyState proxy, boolean anyNotReady) {
    long connectedForDeciMillis = clock.since(proxy.connectedAt());
    return exclusionsDoNotFit
        || anyNotReady && connectedForDeciMillis > settings.routing().maxTimeWithoutEndpoint() / 2
        || cadence.hasStarted() && connectedForDeciMillis > UNKNOWN_TABLE_TIMEOUT_DECI_MILLIS;
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

  /** Sends the selected tables as far as there is room, those that are in use first. */
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
