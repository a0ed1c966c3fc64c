package stonespring.daemon;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.model.DeciMillis;
import stonespring.model.Event;

/**
 * Collects the reports of one interval, which arrive in pieces on many connections, and delivers
 * them together. If only a part were delivered, the missing ones would look to the engine like an
 * interval without requests. The reports are delivered once none has arrived for {@link
 * #QUIET_PERIOD_MILLIS}, but at the latest {@link #MAX_DELAY_MILLIS} after the first; they describe
 * a past interval and nothing else waits for them. Confined to its event loop.
 */
final class ReportBatcher {
  private static final long QUIET_PERIOD_MILLIS = 30;
  private static final long MAX_DELAY_MILLIS = 200;

  /** Number of collected reports at which they are delivered immediately. */
  private static final int MAX_REPORTS = 20_000;

  /** Receives the collected reports on the event loop. */
  @FunctionalInterface
  interface Listener {
    /**
     * Handles reports in the order of their arrival.
     *
     * @param reports valid during the call only; may be empty
     * @param firstArrivedAt arrival time of the first report, in {@link DeciMillis}
     */
    void handleReports(List<Event> reports, long firstArrivedAt);
  }

  private final EventLoop eventLoop;
  private final InstanceClock clock;
  private final Listener listener;
  private final List<Event> reports = new ArrayList<>();
  private long firstArrivedAt;
  private long lastArrivedAt;

  ReportBatcher(EventLoop eventLoop, InstanceClock clock, Listener listener) {
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.listener = listener;
  }

  /** Returns whether an event is a report, which this class collects. */
  static boolean isReport(Event event) {
    return event instanceof Event.EndpointOutcomes
        || event instanceof Event.UnlistedEndpointOutcomes
        || event instanceof Event.ProxyRequestRate;
  }

  void add(Event report) {
    lastArrivedAt = clock.now();
    if (reports.isEmpty()) {
      firstArrivedAt = lastArrivedAt;
      eventLoop.schedule(this::deliverIfDue, QUIET_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }
    reports.add(report);
    if (reports.size() >= MAX_REPORTS) {
      deliver();
    }
  }

  /** Discards the collected reports. */
  void clear() {
    reports.clear();
  }

  private void deliverIfDue() {
    long now = clock.now();
    long dueAt =
        Math.min(
            lastArrivedAt + InstanceClock.ofMillis(QUIET_PERIOD_MILLIS),
            firstArrivedAt + InstanceClock.ofMillis(MAX_DELAY_MILLIS));
    if (now >= dueAt) {
      deliver();
    } else {
      eventLoop.schedule(
          this::deliverIfDue, InstanceClock.toMicros(dueAt - now), TimeUnit.MICROSECONDS);
    }
  }

  private void deliver() {
    listener.handleReports(reports, firstArrivedAt);
    reports.clear();
  }
}
