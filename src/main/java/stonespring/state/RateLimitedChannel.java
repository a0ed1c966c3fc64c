package stonespring.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonespring.model.DeciMillis;
import stonespring.model.ProxyId;

/**
 * The channel: messages leave one by one at a steady pace of lines, each with a head's price. It
 * counts what waits and what one proxy was sent. It does not choose what waits: that is the
 * decisions' part, and they keep it under {@code backlogMost}. Should they fail to, a message for a
 * proxy that has one waiting is merged into it from there on (the later value of a key stands), so
 * that no more can wait than one whole table for each proxy. Time is passed in.
 */
public final class RateLimitedChannel {
  private static final class Waiting {
    private ProxyUpdate message;
    private int price;
  }

  private final double linesPerSecond;
  private final int head;
  private final int backlogMost;
  private final long messagesOver;
  private final LinkedList<Waiting> queue = new LinkedList<>();
  private final TreeMap<Integer, ArrayDeque<Long>> sent = new TreeMap<>();
  private long backlog;
  private long backlogHigh;
  private int messagesHigh;
  private long merged;
  private double freeAt;

  public RateLimitedChannel(double linesPerSecond, int head, int backlogMost, long messagesOver) {
    this.linesPerSecond = linesPerSecond;
    this.head = head;
    this.backlogMost = backlogMost;
    this.messagesOver = messagesOver;
  }

  /** Messages of one reply, in order. */
  public void offer(List<ProxyUpdate> messages, long now) {
    for (ProxyUpdate message : messages) {
      int price = message.lines() + head;
      Waiting before = backlog + price > backlogMost ? last(message.proxy()) : null;
      if (before != null) {
        merge(before, message);
        continue;
      }
      Waiting waiting = new Waiting();
      waiting.message = message;
      waiting.price = price;
      if (queue.isEmpty()) {
        freeAt = Math.max(freeAt, now);
      }
      queue.add(waiting);
      backlog += price;
    }
    backlogHigh = Math.max(backlogHigh, backlog);
  }

  private Waiting last(ProxyId proxy) {
    for (Iterator<Waiting> it = queue.descendingIterator(); it.hasNext(); ) {
      Waiting waiting = it.next();
      if (waiting.message.proxy().equals(proxy)) {
        return waiting;
      }
    }
    return null;
  }

  private void merge(Waiting before, ProxyUpdate later) {
    Map<String, String> changes = new LinkedHashMap<>(before.message.changes());
    later
        .changes()
        .forEach(
            (key, value) -> {
              changes.remove(key);
              changes.put(key, value);
            });
    int lines = changes.size() + (later.mark() == null ? 0 : 1);
    backlog += lines + head - before.price;
    before.price = lines + head;
    // An earlier mark stays unanswered then: the decisions count its room as free after their own
    // wait.
    before.message =
        new ProxyUpdate(
            later.proxy(),
            changes,
            lines,
            later.mark() != null ? later.mark() : before.message.mark(),
            before.message.orderedAt());
    merged++;
  }

  /** Takes out what has left the channel by now, in order. */
  public List<ProxyUpdate> due(long now) {
    List<ProxyUpdate> out = new ArrayList<>();
    while (!queue.isEmpty() && leavesAt() <= now) {
      Waiting next = queue.removeFirst();
      freeAt = freeAt + next.price * DeciMillis.SECOND / linesPerSecond;
      backlog -= next.price;
      ArrayDeque<Long> times =
          sent.computeIfAbsent(next.message.proxy().number(), n -> new ArrayDeque<>());
      times.removeIf(at -> now - at > messagesOver);
      times.add(now);
      messagesHigh = Math.max(messagesHigh, times.size());
      out.add(next.message);
    }
    return out;
  }

  private long leavesAt() {
    return (long) Math.ceil(freeAt + queue.getFirst().price * DeciMillis.SECOND / linesPerSecond);
  }

  /** When the next message leaves; {@code Long.MAX_VALUE} where none waits. */
  public long nextAt() {
    return queue.isEmpty() ? Long.MAX_VALUE : leavesAt();
  }

  /** A proxy's stream ended: what waits for it is lost, and it starts to count anew. */
  public void left(ProxyId proxy) {
    for (Iterator<Waiting> it = queue.iterator(); it.hasNext(); ) {
      Waiting waiting = it.next();
      if (waiting.message.proxy().equals(proxy)) {
        backlog -= waiting.price;
        it.remove();
      }
    }
    sent.remove(proxy.number());
  }

  /** Lines that wait, heads included. */
  public long backlog() {
    return backlog;
  }

  public long backlogHigh() {
    return backlogHigh;
  }

  /** The most messages that left for one proxy within the span that the limit speaks of. */
  public int messagesHigh() {
    return messagesHigh;
  }

  public long merged() {
    return merged;
  }

  public boolean isEmpty() {
    return queue.isEmpty();
  }
}
