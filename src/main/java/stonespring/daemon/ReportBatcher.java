package stonespring.daemon;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.model.DeciMillis;
import stonespring.model.Event;

/**
 * Gathers the reports of one interval, which arrive in pieces on many connections, and delivers
 * them together: a part of them would look to the engine like an interval without requests. They
 * are delivered once none arrived for a short while, but no later than a bound. Confined to its
 * event loop.
 */
final class ReportBatcher {
  private static final long QUIET_PERIOD_MILLIS = 30;
  private static final long MAX_DELAY_MILLIS = 200;
  private static final int MAX_REPORTS = 20_000;

  /** Takes gathered reports, on the event loop. */
  @FunctionalInterface
  interface Listener {
    /**
     * Takes reports in the order of their arrival.
     *
     * @param reports valid during the call only; may be empty
     * @param firstArrivedAt when the first of them arrived, {@link DeciMillis}
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

  /** Returns whether an event is a report, to be gathered here. */
  static boolean isReport(Event event) {
    return event instanceof Event.EndpointOutcomes || event instanceof Event.ProxyRequestRate;
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

  /** Discards what was gathered and not delivered. */
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
