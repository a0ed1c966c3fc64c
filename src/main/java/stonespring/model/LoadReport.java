package stonespring.model;

/**
 * The load that an endpoint reports about itself. A value that the endpoint omits is NaN.
 *
 * @param utilization busy fraction of the endpoint's capacity; normally 0 to 1
 * @param queueLength number of queued requests
 * @param inFlight number of requests being served
 * @param serviceTimeMillis mean service time of a request, milliseconds
 * @param requestsPerSecond rate of completed requests
 */
public record LoadReport(
    double utilization,
    double queueLength,
    double inFlight,
    double serviceTimeMillis,
    double requestsPerSecond) {
  /** A report without any value. */
  public static final LoadReport NONE =
      new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
