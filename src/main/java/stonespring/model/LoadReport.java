package stonespring.model;

/**
 * An endpoint's own account of its load. A figure that it does not give is NaN.
 *
 * @param utilization busy share of its capacity, 0 to 1
 * @param queueLength requests that wait
 * @param inFlight requests that are being served
 * @param serviceTimeMillis mean time of a request, milliseconds
 * @param requestsPerSecond requests that it completes
 */
public record LoadReport(
    double utilization,
    double queueLength,
    double inFlight,
    double serviceTimeMillis,
    double requestsPerSecond) {
  /** Tells nothing. */
  public static final LoadReport NONE =
      new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
