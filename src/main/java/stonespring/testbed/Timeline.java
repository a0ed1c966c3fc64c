package stonespring.testbed;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Scheduled actions of a scenario, run in order of time; actions due at the same time run in the
 * order of scheduling. Actions run on the thread that calls {@link #runUntil}, and only that thread
 * may use a timeline. Times are in milliseconds since {@link #start}.
 */
final class Timeline {
  /** A scheduled action; it may throw, which ends {@link #runUntil}. */
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
   * @param evidence provides the clock
   */
  Timeline(Evidence evidence) {
    this.evidence = evidence;
  }

  /** Sets the timeline's zero to the present. */
  void start() {
    startedMillis = evidence.now();
  }

  /** Returns the timeline's zero on the evidence's clock, in milliseconds. */
  double startedMillis() {
    return startedMillis;
  }

  /** Returns the milliseconds since {@link #start}. */
  double now() {
    return evidence.now() - startedMillis;
  }

  void scheduleAt(double atMillis, Action action) {
    scheduled.add(new Scheduled(atMillis, sequence++, action));
  }

  /** Runs the first action immediately and schedules the second for the end of the fault. */
  void runDuring(Scenario.Fault fault, Action begin, Action end) throws Exception {
    begin.run();
    scheduleAt(now() + fault.durationMillis(), end);
  }

  /** Schedules an action now and after each interval of the fault until the fault ends. */
  void scheduleRepeatedly(Scenario.Fault fault, Action action) {
    // The clock is read again in each iteration, so an action due exactly at the end is included.
    for (double whenMillis = now();
        whenMillis < now() + fault.durationMillis();
        whenMillis += fault.intervalMillis()) {
      scheduleAt(whenMillis, action);
    }
  }

  /** Runs all due actions until the given time; sleeps between them. */
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
