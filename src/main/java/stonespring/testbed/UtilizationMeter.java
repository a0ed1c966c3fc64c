package stonespring.testbed;

import java.util.ArrayDeque;

/** Measures the utilization of an endpoint's cores over a sliding window. Not thread-safe. */
final class UtilizationMeter {
  private static final double WINDOW_MILLIS = 500;

  private record Interval(double startMillis, double durationMillis) {
    double endMillis() {
      return startMillis + durationMillis;
    }
  }

  private final ArrayDeque<Interval> intervals = new ArrayDeque<>();
  private final int cores;

  UtilizationMeter(int cores) {
    this.cores = cores;
  }

  /** Counts one core as busy for a time that starts now. */
  void addBusyTime(double nowMillis, double durationMillis) {
    intervals.add(new Interval(nowMillis, durationMillis));
  }

  /** Returns the fraction of the cores' time within the window that was busy. */
  double utilization(double nowMillis) {
    double windowStart = nowMillis - WINDOW_MILLIS;
    intervals.removeIf(interval -> interval.endMillis() < windowStart);
    double busyMillis =
        intervals.stream()
            .mapToDouble(
                interval ->
                    Math.min(nowMillis, interval.endMillis())
                        - Math.max(windowStart, interval.startMillis()))
            .sum();
    return busyMillis / WINDOW_MILLIS / cores;
  }
}
