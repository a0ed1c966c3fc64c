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
 * The channel to the proxies: updates leave in order, at a steady rate of entries, each with the
 * overhead of a message. The decisions keep the backlog under its limit. Should they fail to, an
 * update for a proxy that has one waiting is merged into that one, so that no more can wait than
 * one whole table for each proxy. Not safe for several threads.
 */
public final class RateLimitedChannel {
  private static final class QueuedUpdate {
    private ProxyUpdate update;
    private int costEntries; // entries, overhead included

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
  private long mergedUpdates;
  private double idleAtDeciMillis;

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
        idleAtDeciMillis = Math.max(idleAtDeciMillis, now);
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
    // A replaced acknowledgement is never given: the decisions stop waiting for it by themselves.
    earlier.update =
        new ProxyUpdate(
            later.proxy(),
            changes.toList(),
            entries,
            later.ack().or(earlier.update::ack),
            earlier.update.commandedAt());
    mergedUpdates++;
  }

  /** Removes and returns what has left the channel by now, in order. */
  public List<ProxyUpdate> takeDue(long now) {
    List<ProxyUpdate> due = new ArrayList<>();
    while (!queue.isEmpty() && nextDepartureAt() <= now) {
      QueuedUpdate next = queue.removeFirst();
      idleAtDeciMillis = idleAtDeciMillis + transmissionDeciMillis(next);
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

  /** When the next update leaves; {@code Long.MAX_VALUE} if none waits. */
  public long nextDepartureAt() {
    return queue.isEmpty()
        ? Long.MAX_VALUE
        : (long) Math.ceil(idleAtDeciMillis + transmissionDeciMillis(queue.getFirst()));
  }

  /** A proxy disconnected: what waits for it is dropped, and its messages are counted anew. */
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

  /** Entries that wait, overhead included. */
  public long backlogEntries() {
    return backlogEntries;
  }

  /** The most entries that ever waited. */
  public long peakBacklogEntries() {
    return peakBacklogEntries;
  }

  /** The most messages that ever left for one proxy within the window of the limit. */
  public int peakMessagesPerProxy() {
    return peakMessagesPerProxy;
  }

  /** How many updates were merged into earlier ones, ever. */
  public long mergedUpdates() {
    return mergedUpdates;
  }

  /** Whether nothing waits. */
  public boolean isEmpty() {
    return queue.isEmpty();
  }
}
