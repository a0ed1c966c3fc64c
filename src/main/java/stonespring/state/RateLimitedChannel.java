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
  private static final class Waiting {
    private ProxyUpdate update;
    private int cost; // entries, overhead included

    Waiting(ProxyUpdate update, int cost) {
      this.update = update;
      this.cost = cost;
    }
  }

  private final double entriesPerSecond;
  private final int messageOverheadEntries;
  private final int maxBacklogEntries;
  private final long messageWindow;
  private final LinkedList<Waiting> queue = new LinkedList<>();
  private final TreeMap<Integer, ArrayDeque<Long>> departures = new TreeMap<>();
  private long backlogEntries;
  private long peakBacklogEntries;
  private int peakMessagesPerProxy;
  private long mergedUpdates;
  private double freeAt;

  /** Creates an idle channel. */
  public RateLimitedChannel(Settings.ChannelLimits limits) {
    this.entriesPerSecond = limits.entriesPerSecond();
    this.messageOverheadEntries = limits.messageOverheadEntries();
    this.maxBacklogEntries = limits.maxBacklogEntries();
    this.messageWindow = limits.messageWindow();
  }

  /** Queues the updates of one event batch, in order. */
  public void offer(List<ProxyUpdate> updates, long now) {
    for (ProxyUpdate update : updates) {
      int cost = update.entries() + messageOverheadEntries;
      Optional<Waiting> earlier =
          backlogEntries + cost > maxBacklogEntries
              ? lastWaiting(update.proxy())
              : Optional.empty();
      if (earlier.isPresent()) {
        merge(earlier.get(), update);
        continue;
      }
      if (queue.isEmpty()) {
        freeAt = Math.max(freeAt, now);
      }
      queue.add(new Waiting(update, cost));
      backlogEntries += cost;
    }
    peakBacklogEntries = Math.max(peakBacklogEntries, backlogEntries);
  }

  private Optional<Waiting> lastWaiting(ProxyId proxy) {
    for (Iterator<Waiting> it = queue.descendingIterator(); it.hasNext(); ) {
      Waiting waiting = it.next();
      if (waiting.update.proxy().equals(proxy)) {
        return Optional.of(waiting);
      }
    }
    return Optional.empty();
  }

  private void merge(Waiting earlier, ProxyUpdate later) {
    ProxyChangeSet changes = new ProxyChangeSet();
    earlier.update.changes().forEach(changes::putLast);
    later.changes().forEach(changes::putLast);
    int entries = changes.size() + (later.ack().isPresent() ? 1 : 0);
    int cost = entries + messageOverheadEntries;
    backlogEntries += cost - earlier.cost;
    earlier.cost = cost;
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
      Waiting next = queue.removeFirst();
      freeAt = freeAt + transmissionTime(next);
      backlogEntries -= next.cost;
      countDeparture(next.update.proxy(), now);
      due.add(next.update);
    }
    return due;
  }

  private void countDeparture(ProxyId proxy, long now) {
    ArrayDeque<Long> times =
        departures.computeIfAbsent(proxy.number(), number -> new ArrayDeque<>());
    times.removeIf(at -> now - at > messageWindow);
    times.add(now);
    peakMessagesPerProxy = Math.max(peakMessagesPerProxy, times.size());
  }

  private double transmissionTime(Waiting waiting) {
    return waiting.cost * DeciMillis.SECOND / entriesPerSecond;
  }

  /** When the next update leaves; {@code Long.MAX_VALUE} if none waits. */
  public long nextDepartureAt() {
    return queue.isEmpty()
        ? Long.MAX_VALUE
        : (long) Math.ceil(freeAt + transmissionTime(queue.getFirst()));
  }

  /** A proxy disconnected: what waits for it is dropped, and its messages are counted anew. */
  public void removeProxy(ProxyId proxy) {
    for (Iterator<Waiting> it = queue.iterator(); it.hasNext(); ) {
      Waiting waiting = it.next();
      if (waiting.update.proxy().equals(proxy)) {
        backlogEntries -= waiting.cost;
        it.remove();
      }
    }
    departures.remove(proxy.number());
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
