package stonespring.model;

import java.util.List;

/**
 * The settings of a {@link DecisionEngine}, fixed at its start. Immutable; no component is null.
 * Instants and durations are in {@link DeciMillis}.
 *
 * @param requestClasses the request classes; a {@link RequestClassId} is a position in this list
 * @param reportInterval the interval at which reports from proxies arrive
 */
public record Settings(
    Fleet fleet,
    List<RequestClass> requestClasses,
    EndpointListRules endpointList,
    AdmissionLimitKind admissionLimitKind,
    ChannelLimits channel,
    RoutingRules routing,
    SlowStart slowStart,
    long reportInterval) {
  /**
   * The size and kind of the fleet.
   *
   * @param instances number of stonespring instances that share the proxies
   * @param zones number of zones; a {@link ZoneId} is a position among them
   * @param proxies approximate number of proxies over all instances
   * @param sharded whether route tables belong to shards instead of proxies; the current engine
   *     sends no route tables to a sharded fleet
   */
  public record Fleet(int instances, int zones, int proxies, boolean sharded) {}

  /**
   * Rules for interpreting the endpoint list.
   *
   * @param watchRequired whether only a watch on the list delivers its changes
   * @param removedEndpointsKeepServing whether an endpoint removed from the list may still be used
   *     as long as it responds
   * @param maxNotificationDelay time after a change of the list from which this instance counts as
   *     notified of it, even if all its requests for the list have failed; {@link
   *     #UNLIMITED_NOTIFICATION_DELAY} if there is no such time
   */
  public record EndpointListRules(
      boolean watchRequired, boolean removedEndpointsKeepServing, long maxNotificationDelay) {
    /** A {@link #maxNotificationDelay} without limit. */
    public static final long UNLIMITED_NOTIFICATION_DELAY = 0;

    /** The platform's limit on the notification delay, whatever the settings allow. */
    private static final long PLATFORM_MAX_NOTIFICATION_DELAY = 6 * DeciMillis.SECOND;

    private EndpointListRules withPlatformConstraints() {
      long delay =
          maxNotificationDelay == UNLIMITED_NOTIFICATION_DELAY
              ? PLATFORM_MAX_NOTIFICATION_DELAY
              : Math.min(maxNotificationDelay, PLATFORM_MAX_NOTIFICATION_DELAY);
      return new EndpointListRules(true, removedEndpointsKeepServing, delay);
    }
  }

  /**
   * Limits of the channel to the proxies. An entry is a route, an admission limit, an exclusion or
   * an acknowledgement request; it counts once for each proxy that receives it.
   *
   * @param maxBacklogEntries maximum number of entries that wait in the channel
   * @param messageOverheadEntries cost of a message in entries, in addition to its content
   * @param maxMessagesPerProxy maximum number of messages to one proxy within the message window; 0
   *     if unlimited
   * @param messageWindow duration of the window for which messages to a proxy are counted
   * @param entriesPerSecond number of entries that the channel transmits per second
   * @param proxyTablesUnknown whether connecting proxies do not report the endpoints in the tables
   *     that they already hold. If so, an exclusion costs an entry at each such proxy, and each
   *     endpoint in the first table assigned to a proxy must be allowed explicitly, at one entry
   *     each, because another instance may have excluded it
   */
  public record ChannelLimits(
      int maxBacklogEntries,
      int messageOverheadEntries,
      int maxMessagesPerProxy,
      long messageWindow,
      double entriesPerSecond,
      boolean proxyTablesUnknown) {}

  /**
   * Routing rules and costs.
   *
   * @param maxTimeWithoutEndpoint maximum time that a connected proxy may have no route while the
   *     list contains a warm endpoint
   * @param bootstrapRouteCount maximum number of routes in the table that a proxy starts with
   * @param crossZonePenalty cost of a request to another zone, as a fraction of the request's value
   * @param worstClassWeight fraction of the engine's optimization objective that depends on the
   *     worst served request class alone
   * @param ejectAfterConsecutiveFailures number of consecutive failures after which a proxy ejects
   *     an endpoint on its own; 0 if proxies never eject endpoints
   */
  public record RoutingRules(
      long maxTimeWithoutEndpoint,
      int bootstrapRouteCount,
      double crossZonePenalty,
      double worstClassWeight,
      int ejectAfterConsecutiveFailures) {}

  /**
   * The slow start of endpoints: their capacity grows while they warm up.
   *
   * @param window time from the start of an endpoint until it has its full capacity
   * @param initialFraction fraction of the full capacity that an endpoint has at its start, 0 to 1
   * @param overloadMultiple load at which an endpoint that is warming up fails, as a multiple of
   *     its current capacity
   */
  public record SlowStart(long window, double initialFraction, double overloadMultiple) {
    /**
     * Returns a lower bound of the fraction of its full capacity that an endpoint has. The bound
     * rises linearly from the initial fraction; the actual capacity may rise faster.
     *
     * @param startedAt when the endpoint started; 0 if it started long ago
     * @return a fraction from 0 to 1; 1 once the endpoint is warm
     */
    public double warmUpFraction(long startedAt, long now) {
      if (startedAt <= 0) {
        return 1;
      }
      double elapsedShare = (double) Math.max(0, now - startedAt) / Math.max(1, window);
      return Math.min(1, initialFraction + (1 - initialFraction) * elapsedShare);
    }
  }

  /**
   * Returns a copy of these settings with the constraints of the operators' platform: only a watch
   * delivers changes of the endpoint list, the delay of their notification is limited, and proxies
   * do not report what their tables contain.
   */
  public Settings withPlatformConstraints() {
    ChannelLimits platformChannel =
        new ChannelLimits(
            channel.maxBacklogEntries,
            channel.messageOverheadEntries,
            channel.maxMessagesPerProxy,
            channel.messageWindow,
            channel.entriesPerSecond,
            true);
    return new Settings(
        fleet,
        requestClasses,
        endpointList.withPlatformConstraints(),
        admissionLimitKind,
        platformChannel,
        routing,
        slowStart,
        reportInterval);
  }
}
