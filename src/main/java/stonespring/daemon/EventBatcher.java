package stonespring.daemon;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.model.Event;

/**
 * Collects events that arrive together and delivers them as one batch, with a minimum interval
 * between batches. Confined to its event loop.
 */
final class EventBatcher {
  /** Runs a batch, on the event loop. */
  @FunctionalInterface
  interface Listener {
    /**
     * Runs a batch of events in the order of their arrival.
     *
     * @param events may be empty, as a batch may be requested for timers alone
     * @param now the time at the start of the batch, in {@link stonespring.model.DeciMillis}
     */
    void runBatch(List<Event> events, long now);
  }

  private final EventLoop eventLoop;
  private final InstanceClock clock;
  private final long minInterval;
  private final Listener listener;
  private final List<Event> events = new ArrayList<>();
  private boolean batchScheduled;
  private boolean stopped;
  private long lastBatchAt;

  /**
   * Creates a batcher.
   *
   * @param minInterval minimum time between the starts of two batches, in {@link
   *     stonespring.model.DeciMillis}
   */
  EventBatcher(EventLoop eventLoop, InstanceClock clock, long minInterval, Listener listener) {
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.minInterval = minInterval;
    this.listener = listener;
  }

  void add(Event event) {
    events.add(event);
    requestBatch();
  }

  void addAll(List<Event> added) {
    events.addAll(added);
    if (!events.isEmpty()) {
      requestBatch();
    }
  }

  /** Discards the events that wait for the next batch. */
  void clear() {
    events.clear();
  }

  /** Schedules a batch, unless one is scheduled already. */
  void requestBatch() {
    if (batchScheduled) {
      return;
    }
    batchScheduled = true;
    long delay = lastBatchAt + minInterval - clock.now();
    if (delay <= 0) {
      eventLoop.execute(this::runBatch); // after the messages read in the same pass
    } else {
      eventLoop.schedule(this::runBatch, InstanceClock.toMicros(delay), TimeUnit.MICROSECONDS);
    }
  }

  /** Runs a batch of the collected events now. */
  void runBatch() {
    batchScheduled = false;
    if (stopped) {
      return;
    }
    long now = clock.now();
    lastBatchAt = now;
    List<Event> batch = List.copyOf(events);
    events.clear();
    listener.runBatch(batch, now);
  }

  /** Prevents all further batches. */
  void stop() {
    stopped = true;
  }
}
