package stonespring.testbed.virtual;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock and the actions scheduled on it. Actions run in order of time; actions at the
 * same time run in the order of scheduling. Times are in {@link stonespring.model.DeciMillis}. Not
 * thread-safe.
 */
final class EventQueue {
  private record ScheduledAction(long at, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> actions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at)
              .thenComparingLong(ScheduledAction::sequence));
  private long nextSequence;
  private long now;

  /** Returns the present time of the virtual clock. */
  long now() {
    return now;
  }

  /** Schedules an action at an instant; an instant in the past is replaced by the present. */
  void scheduleAt(long instant, Runnable action) {
    actions.add(new ScheduledAction(Math.max(now, instant), nextSequence++, action));
  }

  /** Schedules an action after a delay. */
  void scheduleAfter(long delay, Runnable action) {
    scheduleAt(now + delay, action);
  }

  /** Runs all actions due up to and including an instant, and advances the clock to it. */
  void runUntil(long instant) {
    while (!actions.isEmpty() && actions.peek().at <= instant) {
      ScheduledAction next = actions.poll();
      now = next.at;
      next.action.run();
    }
    now = Math.max(now, instant);
  }
}
