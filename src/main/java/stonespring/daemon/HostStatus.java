package stonespring.daemon;

import stonespring.model.Settings;
import stonespring.state.ProxySessions;
import stonespring.state.RateLimitedChannel;

/**
 * Writes an instance's status as the JSON object that it publishes. The field names are a stable
 * interface.
 */
final class HostStatus {
  private HostStatus() {}

  /**
   * Returns the status as JSON. Its fields:
   *
   * <ul>
   *   <li>{@code proxies}: connected proxies
   *   <li>{@code tasks_ready}: listed endpoints that are ready to take requests
   *   <li>{@code backlog_lines}, {@code backlog_high}, {@code backlog_limit}: entries that wait in
   *       the channel, the most that have waited since the start, and the configured limit
   *   <li>{@code messages_high}, {@code messages_limit}: the most messages sent to one proxy within
   *       the message window, and the configured limit
   *   <li>{@code merged}: updates that were merged into an earlier update
   *   <li>{@code reports_left_out}: observations and request counts that were dropped from reports
   *   <li>{@code decisions}: batches that the engine has ended
   *   <li>{@code answer_ms_p50}, {@code answer_ms_p99}: 50th and 99th percentile of the time from a
   *       command to the proxy's acknowledgement, in milliseconds
   * </ul>
   */
  static String toJson(
      ProxySessions<?> sessions,
      ListedEndpoints endpoints,
      RateLimitedChannel channel,
      Settings.ChannelLimits limits,
      long droppedReportItems,
      long batches,
      DurationHistogram acknowledgementDurations) {
    return "{\"proxies\":"
        + sessions.connectedCount()
        + ",\"tasks_ready\":"
        + endpoints.readyCount()
        + ",\"backlog_lines\":"
        + channel.backlogEntries()
        + ",\"backlog_high\":"
        + channel.peakBacklogEntries()
        + ",\"backlog_limit\":"
        + limits.maxBacklogEntries()
        + ",\"messages_high\":"
        + channel.peakMessagesPerProxy()
        + ",\"messages_limit\":"
        + limits.maxMessagesPerProxy()
        + ",\"merged\":"
        + channel.mergedUpdateCount()
        + ",\"reports_left_out\":"
        + droppedReportItems
        + ",\"decisions\":"
        + batches
        + ",\"answer_ms_p50\":"
        + InstanceClock.toMillis(acknowledgementDurations.atPercentile(50))
        + ",\"answer_ms_p99\":"
        + InstanceClock.toMillis(acknowledgementDurations.atPercentile(99))
        + "}";
  }
}
