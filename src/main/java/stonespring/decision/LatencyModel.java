package stonespring.decision;

import java.util.List;
import stonespring.model.RequestClass;

/** Estimates the share of answers that miss the latency objective from their mean latency. */
final class LatencyModel {
  private final double objective;

  /**
   * Creates a model whose objective is the mean of the request classes' objectives, since latencies
   * are not reported by class.
   */
  LatencyModel(List<RequestClass> requestClasses) {
    objective =
        requestClasses.stream().mapToLong(RequestClass::latencyObjective).average().orElse(1);
  }

  /**
   * Returns the share of answers that take longer than the objective, assuming exponentially
   * distributed latencies.
   *
   * @param meanLatency the mean latency in DeciMillis; 0 or NaN if unknown
   * @return a share from 0 to 1; 0 if the latency is unknown
   */
  double lateShare(double meanLatency) {
    return meanLatency > 0 ? Math.exp(-objective / meanLatency) : 0;
  }
}
