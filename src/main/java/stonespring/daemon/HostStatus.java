package stonespring.daemon;

import stonespring.model.Settings;
import stonespring.state.ProxySessions;
import stonespring.state.RateLimitedChannel;

/** Writes an instance's status as the JSON object that it publishes; its fields are stable. */
final class HostStatus {
  private HostStatus() {}

  /**
   * Writes the status. The published fields and what they hold:
   *
   * <ul>
   *   <li>{@code proxies}: connected proxies
   *   <li>{@code tasks_ready}: listed endpoints that are ready
   *   <li>{@code backlog_lines}, {@code backlog_high}, {@code backlog_limit}: entries that wait in
   *       the channel, the most that ever waited, and the limit of the settings
   *   <li>{@code messages_high}, {@code messages_limit}: the most messages that left for one proxy
   *       within the message window, and the limit of the settings
   *   <li>{@code merged}: updates that were merged into an earlier one
   *   <li>{@code reports_left_out}: observations and request counts of reports that were dropped
   *   <li>{@code decisions}: event batches that the engine ended
   *   <li>{@code answer_ms_p50}, {@code answer_ms_p99}: milliseconds from a command to the proxy's
   *       acknowledgement
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
        + channel.mergedUpdates()
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
