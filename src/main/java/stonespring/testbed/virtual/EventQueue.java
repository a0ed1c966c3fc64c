package stonespring.testbed.virtual;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time: what is due, in order of time and then of being planned. Bounded by what the played
 * day holds.
 */
final class EventQueue {
  private record Due(long at, long count, Runnable act) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::count));
  private long count;
  private long now;

  long now() {
    return now;
  }

  /** Plans an act, now at the earliest. */
  void at(long when, Runnable act) {
    due.add(new Due(Math.max(now, when), count++, act));
  }

  void in(long delay, Runnable act) {
    at(now + delay, act);
  }

  /** Does all that is due by then. */
  void runTo(long until) {
    while (!due.isEmpty() && due.peek().at <= until) {
      Due next = due.poll();
      now = next.at;
      next.act.run();
    }
    now = Math.max(now, until);
  }
}
