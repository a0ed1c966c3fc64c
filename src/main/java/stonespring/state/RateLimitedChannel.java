package stonespring.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import stonespring.model.DeciMillis;
import stonespring.model.ProxyId;
import stonespring.model.Settings;

/**
 * The queue of updates to the proxies. Updates leave in order, at a constant rate of entries; each
 * update costs its own entries and the overhead of a message. The decision engine is expected to
 * keep the backlog below its limit. An update that would exceed the limit is merged into the last
 * queued update for the same proxy, if there is one, so that at most one whole table for each proxy
 * is queued beyond the limit. Not thread-safe.
 */
public final class RateLimitedChannel {
  private static final class QueuedUpdate {
    private ProxyUpdate update;
    private int costEntries; // includes the message overhead

    QueuedUpdate(ProxyUpdate update, int costEntries) {
      this.update = update;
      this.costEntries = costEntries;
    }
  }

  private final double entriesPerSecond;
  private final int messageOverheadEntries;
  private final int maxBacklogEntries;
  private final long messageWindowDeciMillis;
  private final LinkedList<QueuedUpdate> queue = new LinkedList<>();
  private final TreeMap<Integer, ArrayDeque<Long>> departuresByProxy = new TreeMap<>();
  private long backlogEntries;
  private long peakBacklogEntries;
  private int peakMessagesPerProxy;
  private long mergedUpdateCount;

  /** When all earlier transmissions have ended and that of the head of the queue starts. */
  private double availableAtDeciMillis;

  /** Creates an idle channel. */
  public RateLimitedChannel(Settings.ChannelLimits limits) {
    this.entriesPerSecond = limits.entriesPerSecond();
    this.messageOverheadEntries = limits.messageOverheadEntries();
    this.maxBacklogEntries = limits.maxBacklogEntries();
    this.messageWindowDeciMillis = limits.messageWindow();
  }

  /** Queues the updates of one event batch, in order. */
  public void offer(List<ProxyUpdate> updates, long now) {
    for (ProxyUpdate update : updates) {
      int costEntries = update.entries() + messageOverheadEntries;
      Optional<QueuedUpdate> earlier =
          backlogEntries + costEntries > maxBacklogEntries
              ? findLastQueued(update.proxy())
              : Optional.empty();
      if (earlier.isPresent()) {
        mergeInto(earlier.get(), update);
        continue;
      }
      if (queue.isEmpty()) {
        availableAtDeciMillis = Math.max(availableAtDeciMillis, now);
      }
      queue.add(new QueuedUpdate(update, costEntries));
      backlogEntries += costEntries;
    }
    peakBacklogEntries = Math.max(peakBacklogEntries, backlogEntries);
  }

  private Optional<QueuedUpdate> findLastQueued(ProxyId proxy) {
    for (Iterator<QueuedUpdate> it = queue.descendingIterator(); it.hasNext(); ) {
      QueuedUpdate queued = it.next();
      if (queued.update.proxy().equals(proxy)) {
        return Optional.of(queued);
      }
    }
    return Optional.empty();
  }

  private void mergeInto(QueuedUpdate earlier, ProxyUpdate later) {
    ProxyChangeSet changes = new ProxyChangeSet();
    earlier.update.changes().forEach(changes::putLast);
    later.changes().forEach(changes::putLast);
    int entries = changes.size() + (later.ack().isPresent() ? 1 : 0);
    int costEntries = entries + messageOverheadEntries;
    backlogEntries += costEntries - earlier.costEntries;
    earlier.costEntries = costEntries;
    // If both updates request an acknowledgement, only the later request is sent. The decision
    // engine does not rely on an answer to the earlier one.
    earlier.update =
        new ProxyUpdate(
            later.proxy(),
            changes.toList(),
            entries,
            later.ack().or(earlier.update::ack),
            earlier.update.commandedAt());
    mergedUpdateCount++;
  }

  /** Removes and returns the updates whose transmission has ended by now, in order. */
  public List<ProxyUpdate> takeDue(long now) {
    List<ProxyUpdate> due = new ArrayList<>();
    while (!queue.isEmpty() && nextDepartureAt() <= now) {
      QueuedUpdate next = queue.removeFirst();
      availableAtDeciMillis = availableAtDeciMillis + transmissionDeciMillis(next);
      backlogEntries -= next.costEntries;
      recordDeparture(next.update.proxy(), now);
      due.add(next.update);
    }
    return due;
  }

  private void recordDeparture(ProxyId proxy, long now) {
    ArrayDeque<Long> departureTimes =
        departuresByProxy.computeIfAbsent(proxy.number(), number -> new ArrayDeque<>());
    departureTimes.removeIf(at -> now - at > messageWindowDeciMillis);
    departureTimes.add(now);
    peakMessagesPerProxy = Math.max(peakMessagesPerProxy, departureTimes.size());
  }

  private double transmissionDeciMillis(QueuedUpdate queued) {
    return queued.costEntries * DeciMillis.SECOND / entriesPerSecond;
  }

  /**
   * Returns when the next update leaves, {@link DeciMillis}; {@code Long.MAX_VALUE} if none is
   * queued.
   */
  public long nextDepartureAt() {
    return queue.isEmpty()
        ? Long.MAX_VALUE
        : (long) Math.ceil(availableAtDeciMillis + transmissionDeciMillis(queue.getFirst()));
  }

  /** Removes the queued updates and the message count of a proxy that disconnected. */
  public void removeProxy(ProxyId proxy) {
    for (Iterator<QueuedUpdate> it = queue.iterator(); it.hasNext(); ) {
      QueuedUpdate queued = it.next();
      if (queued.update.proxy().equals(proxy)) {
        backlogEntries -= queued.costEntries;
        it.remove();
      }
    }
    departuresByProxy.remove(proxy.number());
  }

  /** Returns the number of queued entries, including the message overhead. */
  public long backlogEntries() {
    return backlogEntries;
  }

  /** Returns the highest number of queued entries since creation, including the overhead. */
  public long peakBacklogEntries() {
    return peakBacklogEntries;
  }

  /** Returns the highest number of messages that left for one proxy within the message window. */
  public int peakMessagesPerProxy() {
    return peakMessagesPerProxy;
  }

  /** Returns the number of updates merged into earlier ones since creation. */
  public long mergedUpdateCount() {
    return mergedUpdateCount;
  }

  /** Whether no update is queued. */
  public boolean isEmpty() {
    return queue.isEmpty();
  }
}
