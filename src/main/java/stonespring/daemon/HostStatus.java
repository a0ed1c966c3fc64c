package stonespring.daemon;

import stonespring.model.Settings;
import stonespring.state.ProxySessions;
import stonespring.state.RateLimitedChannel;

/** Writes an instance's status as the JSON object that it publishes; its fields are stable. */
final class HostStatus {
  private HostStatus() {}

  static String toJson(
      ProxySessions<?> sessions,
      ListedEndpoints endpoints,
      RateLimitedChannel channel,
      Settings.ChannelLimits limits,
      long reportsLeftOut,
      long batches,
      DurationHistogram acknowledgements) {
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
        + reportsLeftOut
        + ",\"decisions\":"
        + batches
        + ",\"answer_ms_p50\":"
        + InstanceClock.toMillis(acknowledgements.atPercentile(50))
        + ",\"answer_ms_p99\":"
        + InstanceClock.toMillis(acknowledgements.atPercentile(99))
        + "}";
  }
}
