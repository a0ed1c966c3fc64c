package stonespring.model;

import java.util.List;

/**
 * What a {@link DecisionEngine} is given at its start. Immutable; no component is null. Instants
 * and durations are in {@link DeciMillis}.
 *
 * @param requestClasses the classes of requests; a {@link RequestClassId} is a position in it
 * @param reportInterval how often proxies' reports arrive
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
   * How large the fleet is.
   *
   * @param instances instances of stonespring that share the proxies
   * @param zones number of zones; a {@link ZoneId} is a position among them
   * @param proxies about how many proxies there are, over all instances
   * @param sharded whether route tables belong to shards in place of proxies; the present engine
   *     sends such a fleet no route tables
   */
  public record Fleet(int instances, int zones, int proxies, boolean sharded) {}

  /**
   * How the endpoint list is to be read.
   *
   * @param watchRequired whether changes come only to who watches the list
   * @param removedEndpointsKeepServing whether a removed endpoint may be used while it answers
   */
  public record EndpointListRules(boolean watchRequired, boolean removedEndpointsKeepServing) {}

  /**
   * Limits of the channel to the proxies. An entry is a route, limit, exclusion or acknowledgement
   * request, counted at each proxy that it reaches.
   *
   * @param maxBacklogEntries entries that may wait
   * @param messageOverheadEntries entries that a message costs besides its content
   * @param maxMessagesPerProxy messages to one proxy within the window; 0 for no limit
   * @param messageWindow the window that the limit of messages counts over
   * @param entriesPerSecond entries that the channel carries
   * @param proxyTablesUnknown whether proxies do not say which endpoints the tables name that they
   *     bring along: an exclusion is then an entry at each of them, and what a first table names
   *     must be allowed again, an entry each, as another instance may have excluded it
   */
  public record ChannelLimits(
      int maxBacklogEntries,
      int messageOverheadEntries,
      int maxMessagesPerProxy,
      long messageWindow,
      double entriesPerSecond,
      boolean proxyTablesUnknown) {}

  /**
   * Rules and costs of routing.
   *
   * @param maxTimeWithoutEndpoint how long a connected proxy may have no route while a warm
   *     endpoint is listed
   * @param bootstrapRouteCount the most routes of the table that a proxy starts with
   * @param crossZonePenalty cost of a request to another zone, as a share of its value
   * @param worstClassWeight share of the objective that the worst served class decides
   * @param ejectAfterConsecutiveFailures failures in a row after which a proxy ejects an endpoint
   *     by itself; 0 for never
   */
  public record RoutingRules(
      long maxTimeWithoutEndpoint,
      int bootstrapRouteCount,
      double crossZonePenalty,
      double worstClassWeight,
      int ejectAfterConsecutiveFailures) {}

  /**
   * How an endpoint warms up.
   *
   * @param window time from its start until it has its whole capacity
   * @param initialFraction share of its capacity that it has at its start, 0 to 1
   * @param overloadMultiple times its present capacity at which an endpoint that is warming up
   *     fails
   */
  public record SlowStart(long window, double initialFraction, double overloadMultiple) {
    /**
     * The share of its capacity that an endpoint has at least: it rises from the initial fraction,
     * linearly at worst.
     *
     * @param startedAt when it started; 0 for long ago
     * @return a fraction from 0 to 1; 1 once it is warm
     */
    public double warmUpFraction(long startedAt, long now) {
      if (startedAt <= 0) {
        return 1;
      }
      double age = (double) Math.max(0, now - startedAt) / Math.max(1, window);
      return Math.min(1, initialFraction + (1 - initialFraction) * age);
    }
  }

  /**
   * These settings as they hold on the operators' platform: the endpoint list comes only to who
   * watches it, and proxies do not say what their tables hold.
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
        new EndpointListRules(true, endpointList.removedEndpointsKeepServing),
        admissionLimitKind,
        platformChannel,
        routing,
        slowStart,
        reportInterval);
  }
}
