package stonespring.decision;

import java.util.ArrayDeque;

/**
 * Recent messages to one proxy, and its part of the backlog. Positions count the entries that this
 * instance has sent to all proxies since it started, as in {@link ChannelBudget}.
 */
final class ProxyChannel {
  private final ArrayDeque<Long> messagesSentAt = new ArrayDeque<>();
  private double unacknowledgedEntries;
  private double lastMessageEndPosition;

  /**
   * Clears the recent messages for a new connection; undelivered entries of the previous connection
   * still count.
   */
  void clearRecentMessages() {
    messagesSentAt.clear();
  }

  /**
   * Records a message.
   *
   * @param entries its entries, with its overhead
   * @param endPosition the position at which its batch ends
   * @param acknowledgedPosition the position that acknowledgements of all proxies have reached
   * @param now when it is sent, DeciMillis
   */
  void recordMessage(double entries, double endPosition, double acknowledgedPosition, long now) {
    messagesSentAt.add(now);
    double unacknowledgedBefore =
        lastMessageEndPosition > acknowledgedPosition ? unacknowledgedEntries : 0;
    unacknowledgedEntries = unacknowledgedBefore + entries;
    lastMessageEndPosition = endPosition;
  }

  /**
   * Records that the proxy applied everything up to a position. If that includes its last message,
   * none of its entries are left unacknowledged.
   */
  void recordAcknowledgement(double position) {
    if (position >= lastMessageEndPosition) {
      unacknowledgedEntries = 0;
    }
  }

  /**
   * Drops the unacknowledged entries of a connection that ended.
   *
   * @return the number of entries dropped
   */
  double dropUnacknowledgedEntries(double acknowledgedPosition) {
    double droppedEntries =
        lastMessageEndPosition > acknowledgedPosition ? unacknowledgedEntries : 0;
    unacknowledgedEntries = 0;
    return droppedEntries;
  }

  /**
   * Counts the messages within a window that ends now, and forgets older ones; times are in
   * DeciMillis.
   */
  int countRecentMessages(long now, long window) {
    messagesSentAt.removeIf(sentAt -> now - sentAt > window);
    return messagesSentAt.size();
  }

  /** Returns when the last message was sent, DeciMillis; there must be a recent message. */
  long lastMessageSentAt() {
    return messagesSentAt.getLast();
  }
}
