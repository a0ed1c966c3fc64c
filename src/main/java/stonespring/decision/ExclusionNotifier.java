package stonespring.decision;

import stonespring.model.Command;
import stonespring.model.Settings;

/**
 * Notifies proxies whose tables this instance does not know which endpoints to exclude: those that
 * are known but not ready. From a table that it knows, the routes to such endpoints are removed
 * instead.
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

  /**
   * Requests notices because a proxy connected whose tables may name endpoints that are not ready.
   */
  void requestNotices() {
    noticesPending = true;
  }

  /** Returns whether notices are needed but not sent yet. */
  boolean areNoticesPending() {
    return noticesPending;
  }

  /**
   * Returns whether the channel has room to notify all proxies with unknown tables of all endpoints
   * that are not ready.
   */
  boolean hasRoomForNotices() {
    long excludedCount = endpoints.notReady().limit(maxRouteCountOfUnknownTable()).count();
    return budget.hasRoomForExclusions(proxies.withUnknownTable().count(), excludedCount);
  }

  /**
   * Sends notices if an endpoint went out of service or a proxy connected, and enough time has
   * passed since the last notices. A batch repeats the notices of all endpoints that are not ready,
   * since earlier notices did not reach proxies that connected later. Proxies that connect share a
   * batch: when each of them caused a batch of its own, the batches used up the message limit of
   * all proxies.
   *
   * @param permitted whether any endpoint is not ready and the channel has room; otherwise pending
   *     notices are dropped
   */
  void sendNoticesIfDue(boolean permitted) {
    noticesPending |= endpoints.testAndClearExclusionsNeeded();
    noticesPending &= permitted;
    if (noticesPending && clock.since(lastNotifiedAt) >= ChannelBudget.BATCH_INTERVAL_DECI_MILLIS) {
      endpoints.notReady().forEach(endpoint -> setExcluded(endpoint, true));
      noticesPending = false;
      lastNotifiedAt = clock.now();
    }
  }

  /**
   * Excludes an endpoint if any unknown table may name it, or allows an excluded endpoint again.
   */
  void setExcluded(EndpointState endpoint, boolean excluded) {
    if (endpoint.isEvicted()) {
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

  /**
   * Returns whether a notice counts as an entry at a proxy: its table holds the endpoint, or may do
   * so.
   */
  private boolean costsEntry(ProxyState proxy, EndpointState endpoint) {
    return proxy.isTableAssigned()
        ? proxy.table().hasAppliedRouteTo(endpoint)
        : batch.entriesFor(proxy) < maxRouteCountOfUnknownTable();
  }

  private int maxRouteCountOfUnknownTable() {
    return settings.channel().proxyTablesUnknown()
        ? endpoints.size()
        : settings.routing().bootstrapRouteCount();
  }
}
