package stonespring.testbed.virtual;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The virtual clock and the actions scheduled on it, run in the order of their instants and, at one
 * instant, in the order in which they were scheduled. Times are in {@link
 * stonespring.model.DeciMillis}. Not thread-safe.
 */
final class EventQueue {
  private record ScheduledAction(long at, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> actions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at)
              .thenComparingLong(ScheduledAction::sequence));
  private long nextSequence;
  private long now;

  /** The present instant of the virtual clock. */
  long now() {
    return now;
  }

  /** Schedules an action at an instant; an instant that has passed counts as the present one. */
  void scheduleAt(long instant, Runnable action) {
    actions.add(new ScheduledAction(Math.max(now, instant), nextSequence++, action));
  }

  /** Schedules an action after a delay. */
  void scheduleAfter(long delay, Runnable action) {
    scheduleAt(now + delay, action);
  }

  /** Runs all actions scheduled up to and including an instant, and moves the clock there. */
  void runUntil(long instant) {
    while (!actions.isEmpty() && actions.peek().at <= instant) {
      ScheduledAction next = actions.poll();
      now = next.at;
      next.action.run();
    }
    now = Math.max(now, instant);
  }
}
