package stonespring.testbed;

import java.util.ArrayDeque;

/** Adds up the work that arrives at a warming-up endpoint over a window. Not thread-safe. */
final class OverloadDetector {
  private record Arrival(double atMillis, double workMillis) {}

  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
  private final double windowMillis;

  OverloadDetector(double windowMillis) {
    this.windowMillis = windowMillis;
  }

  /**
   * Adds a request's work.
   *
   * @param capacityCores cores' worth of work that the endpoint can do now
   * @return the window's work as a multiple of what the endpoint can do in that time
   */
  double addArrival(double nowMillis, double workMillis, double capacityCores) {
    arrivals.add(new Arrival(nowMillis, workMillis));
    while (nowMillis - arrivals.peek().atMillis() > windowMillis) {
      arrivals.poll();
    }
    double arrivedWorkMillis = arrivals.stream().mapToDouble(Arrival::workMillis).sum();
    return arrivedWorkMillis == 0 ? 0 : arrivedWorkMillis / (capacityCores * windowMillis);
  }

  void clear() {
    arrivals.clear();
  }
}
