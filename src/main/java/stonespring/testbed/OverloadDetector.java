package stonespring.testbed;

import java.util.ArrayDeque;

/**
 * Compares the work that arrived at a warming endpoint within a sliding window with its capacity.
 * Not thread-safe.
 */
final class OverloadDetector {
  private record Arrival(double atMillis, double workMillis) {}

  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
  private final double windowMillis;

  OverloadDetector(double windowMillis) {
    this.windowMillis = windowMillis;
  }

  /**
   * Adds the work of a request that arrives now.
   *
   * @param workMillis the core time that the request takes on a warm endpoint
   * @param capacityCores the current capacity in warm cores
   * @return the work within the window as a multiple of the work that the endpoint can do in a
   *     window at its current capacity
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
