package stonespring.testbed;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What is due during a scenario, in order of time and, at one time, of entry. Actions run on the
 * thread that calls {@link #runUntil}; only that thread may use a timeline. Times are milliseconds
 * since {@link #start}.
 */
final class Timeline {
  /** One step of a scenario. */
  interface Action {
    void run() throws Exception;
  }

  private record Scheduled(double atMillis, long sequence, Action action) {}

  private final Evidence evidence;
  private final PriorityQueue<Scheduled> scheduled =
      new PriorityQueue<>(
          Comparator.comparingDouble(Scheduled::atMillis).thenComparing(Scheduled::sequence));
  private long sequence;
  private double startedMillis;

  /**
   * Creates an empty timeline.
   *
   * @param evidence its clock is the timeline's
   */
  Timeline(Evidence evidence) {
    this.evidence = evidence;
  }

  /** Makes the present the timeline's zero. */
  void start() {
    startedMillis = evidence.now();
  }

  /** The timeline's zero on the evidence's clock, milliseconds. */
  double startedMillis() {
    return startedMillis;
  }

  double now() {
    return evidence.now() - startedMillis;
  }

  void scheduleAt(double atMillis, Action action) {
    scheduled.add(new Scheduled(atMillis, sequence++, action));
  }

  /** Runs one action at once and another when the fault ends. */
  void runDuring(Scenario.Fault fault, Action begin, Action end) throws Exception {
    begin.run();
    scheduleAt(now() + fault.durationMillis(), end);
  }

  /** Schedules an action at each of the fault's intervals while it lasts. */
  void scheduleRepeatedly(Scenario.Fault fault, Action action) {
    // The clock is read again each time: an action that falls on the fault's end is included.
    for (double whenMillis = now();
        whenMillis < now() + fault.durationMillis();
        whenMillis += fault.intervalMillis()) {
      scheduleAt(whenMillis, action);
    }
  }

  /** Runs what is due until a time. */
  void runUntil(double untilMillis) throws Exception {
    while (now() < untilMillis) {
      Scheduled next = scheduled.peek();
      if (next != null && next.atMillis() <= now()) {
        scheduled.poll().action().run();
      } else {
        double wakeUp = Math.min(untilMillis, next == null ? untilMillis : next.atMillis());
        Thread.sleep((long) Math.max(1, wakeUp - now()));
      }
    }
  }
}
