package stonespring.daemon;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs an action on the event loop when the engine's next timer is due. Confined to the event loop.
 */
final class EngineTimer {
  private final EventLoop eventLoop;
  private final Runnable onTimerDue;
  private long scheduledDueAt = EngineRunner.NO_TIMER;
  private Future<?> scheduled;

  EngineTimer(EventLoop eventLoop, Runnable onTimerDue) {
    this.eventLoop = eventLoop;
    this.onTimerDue = onTimerDue;
  }

  /**
   * Schedules the action in place of the one that was scheduled before.
   *
   * @param dueAt {@link EngineRunner#NO_TIMER} leaves the earlier one in place
   */
  void schedule(long dueAt, long now) {
    if (dueAt == scheduledDueAt || dueAt == EngineRunner.NO_TIMER) {
      return;
    }
    if (scheduled != null) {
      scheduled.cancel(false);
    }
    scheduledDueAt = dueAt;
    long delay = Math.max(0, dueAt - now);
    scheduled =
        eventLoop.schedule(this::fire, InstanceClock.toMicros(delay), TimeUnit.MICROSECONDS);
  }

  private void fire() {
    scheduledDueAt = EngineRunner.NO_TIMER;
    onTimerDue.run();
  }

  /**
   * Clears the recorded due time, so that the next {@link #schedule} takes effect even for the same
   * time.
   */
  void clearDueTime() {
    scheduledDueAt = EngineRunner.NO_TIMER;
  }
}
