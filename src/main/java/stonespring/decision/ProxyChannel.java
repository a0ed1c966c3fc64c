package stonespring.decision;

import java.util.ArrayDeque;

/**
 * What was sent to one proxy: its recent messages and its part of the backlog. Positions count the
 * entries that this instance has sent to all proxies since it started.
 */
final class ProxyChannel {
  private final ArrayDeque<Long> messagesSentAt = new ArrayDeque<>();
  private double unacknowledgedEntries;
  private double lastMessageEndPosition;

  /** Starts anew for a new connection; what the old one had in the backlog still counts. */
  void clearRecentMessages() {
    messagesSentAt.clear();
  }

  /** Books a message of so many entries that ends at a position. */
  void recordMessage(double entries, double endPosition, double acknowledgedPosition, long now) {
    messagesSentAt.add(now);
    double unacknowledgedBefore =
        lastMessageEndPosition > acknowledgedPosition ? unacknowledgedEntries : 0;
    unacknowledgedEntries = unacknowledgedBefore + entries;
    lastMessageEndPosition = endPosition;
  }

  /** Nothing waits once all up to the last message is acknowledged. */
  void recordAcknowledgement(double position) {
    if (position >= lastMessageEndPosition) {
      unacknowledgedEntries = 0;
    }
  }

  /** Drops what waits for a connection that ended, and returns how many entries that were. */
  double dropUnacknowledgedEntries(double acknowledgedPosition) {
    double droppedEntries =
        lastMessageEndPosition > acknowledgedPosition ? unacknowledgedEntries : 0;
    unacknowledgedEntries = 0;
    return droppedEntries;
  }

  /** Messages within the window up to now; older ones are dropped. */
  int countRecentMessages(long now, long window) {
    messagesSentAt.removeIf(sentAt -> now - sentAt > window);
    return messagesSentAt.size();
  }

  /** When the last message was sent; there must be a recent one. */
  long lastMessageSentAt() {
    return messagesSentAt.getLast();
  }
}
