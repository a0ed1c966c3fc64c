package stonespring.decision;

import java.util.List;
import stonespring.model.RequestClass;

/** How many answers miss the latency objective, by their mean latency. */
final class LatencyModel {
  private final double objective;

  /** The objective is the mean of the classes' objectives: latencies are not reported by class. */
  LatencyModel(List<RequestClass> requestClasses) {
    objective =
        requestClasses.stream().mapToLong(RequestClass::latencyObjective).average().orElse(1);
  }

  /**
   * The share of answers that come after the objective, for exponentially distributed latencies.
   *
   * @param meanLatency DeciMillis; 0 or NaN if unknown
   * @return 0 to 1; 0 if the latency is unknown
   */
  double lateShare(double meanLatency) {
    return meanLatency > 0 ? Math.exp(-objective / meanLatency) : 0;
  }
}
