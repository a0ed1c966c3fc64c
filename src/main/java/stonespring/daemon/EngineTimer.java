package stonespring.daemon;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Wakes the event loop when the engine's next timer is due. Confined to the event loop. */
final class EngineTimer {
  private final EventLoop eventLoop;
  private final Runnable onTimerDue;
  private long scheduledAt = EngineRunner.NO_TIMER;
  private Future<?> scheduled;

  EngineTimer(EventLoop eventLoop, Runnable onTimerDue) {
    this.eventLoop = eventLoop;
    this.onTimerDue = onTimerDue;
  }

  /**
   * Schedules the wake-up in place of the one before.
   *
   * @param dueAt {@link EngineRunner#NO_TIMER} leaves the one before
   */
  void schedule(long dueAt, long now) {
    if (dueAt == scheduledAt || dueAt == EngineRunner.NO_TIMER) {
      return;
    }
    if (scheduled != null) {
      scheduled.cancel(false);
    }
    scheduledAt = dueAt;
    long delay = Math.max(0, dueAt - now);
    scheduled =
        eventLoop.schedule(this::fire, InstanceClock.toMicros(delay), TimeUnit.MICROSECONDS);
  }

  private void fire() {
    scheduledAt = EngineRunner.NO_TIMER;
    onTimerDue.run();
  }

  /** Forgets what is scheduled, so that any time is scheduled anew. */
  void reset() {
    scheduledAt = EngineRunner.NO_TIMER;
  }
}
