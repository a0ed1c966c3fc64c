package stonespring.decision;

import stonespring.model.Command;
import stonespring.model.Settings;

/**
 * Notifies proxies with unknown tables which endpoints to exclude. A table that this instance knows
 * loses such endpoints by its own routes.
 */
final class ExclusionNotifier {
  private final Settings settings;
  private final EngineClock clock;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final CommandBatch batch;
  private final ChannelBudget budget;
  private boolean noticesPending;
  private long lastNotifiedAt = EngineClock.NEVER;

  ExclusionNotifier(
      Settings settings,
      EngineClock clock,
      EndpointRegistry endpoints,
      ProxyRegistry proxies,
      CommandBatch batch,
      ChannelBudget budget) {
    this.settings = settings;
    this.clock = clock;
    this.endpoints = endpoints;
    this.proxies = proxies;
    this.batch = batch;
    this.budget = budget;
  }

  /** Asks for notices, as a proxy connected with tables that may name what left. */
  void requestNotices() {
    noticesPending = true;
  }

  /** Whether notices wait for their time. */
  boolean areNoticesPending() {
    return noticesPending;
  }

  /** Whether the channel can take notices of all endpoints that left, at all unknown tables. */
  boolean hasRoomForNotices() {
    long excludedCount = endpoints.notReady().limit(maxRouteCountOfUnknownTable()).count();
    return budget.hasRoomForExclusions(proxies.withUnknownTable().count(), excludedCount);
  }

  /**
   * Sends notices if an endpoint left or a proxy connected. All are repeated in one batch: an
   * earlier notice did not reach a proxy that connected later, and a batch for each would use up
   * the messages of all proxies.
   *
   * @param permitted whether any endpoint left and the channel has room; otherwise pending notices
   *     are dropped
   */
  void sendNoticesIfDue(boolean permitted) {
    noticesPending |= endpoints.takeExclusionsNeeded();
    noticesPending &= permitted;
    if (noticesPending && clock.since(lastNotifiedAt) >= ChannelBudget.BATCH_INTERVAL_DECI_MILLIS) {
      endpoints.notReady().forEach(endpoint -> setExcluded(endpoint, true));
      noticesPending = false;
      lastNotifiedAt = clock.now();
    }
  }

  /** Excludes an endpoint, if any unknown table may name it, or allows an excluded one again. */
  void setExcluded(EndpointState endpoint, boolean excluded) {
    if (endpoint.isForgotten()) {
      return;
    }
    boolean needed =
        excluded ? proxies.withUnknownTable().findAny().isPresent() : endpoint.isExcluded();
    if (!needed) {
      return;
    }
    endpoint.setExcluded(excluded);
    batch.addExclusion(new Command.ExcludeEndpoint(endpoint.id(), excluded));
    for (ProxyState proxy : proxies.all()) {
      if (proxy.isConnected() && costsEntry(proxy, endpoint)) {
        batch.countEntries(proxy, 1);
      }
    }
  }

  /** Whether a notice counts at a proxy: its table names the endpoint, or may do so. */
  private boolean costsEntry(ProxyState proxy, EndpointState endpoint) {
    return proxy.isTableAssigned()
        ? proxy.table().holds(endpoint)
        : batch.entriesFor(proxy) < maxRouteCountOfUnknownTable();
  }

  private int maxRouteCountOfUnknownTable() {
    return settings.channel().proxyTablesUnknown()
        ? endpoints.size()
        : settings.routing().bootstrapRouteCount();
  }
}
