package stonespring.proxy.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;

/**
 * What a proxy observed since its last report: counters for each endpoint and request class, so
 * that the size does not depend on the number of requests. Times are in {@link
 * stonespring.model.DeciMillis}.
 */
public final class RequestStatistics {
  /**
   * The observations of one endpoint.
   *
   * @param totalSuccessDeciMillis sum of the durations of the successful attempts
   * @param load the latest load report of the endpoint, or null if there is none
   */
  public record EndpointObservation(
      String endpoint,
      long attempts,
      long failures,
      long totalSuccessDeciMillis,
      LoadReport load) {}

  private static final class EndpointCounters {
    private long attempts;
    private long failures;
    private long totalSuccessDeciMillis;
    private LoadReport load;
  }

  private final TreeMap<String, EndpointCounters> countersByEndpoint = new TreeMap<>();
  private final long[] requests;
  private final long[] unanswered;
  private long intervalStart;

  /** Starts an interval at {@code now}. */
  public RequestStatistics(int requestClassCount, long now) {
    this.requests = new long[requestClassCount];
    this.unanswered = new long[requestClassCount];
    this.intervalStart = now;
  }

  /** Counts a received request. */
  public void recordRequest(RequestClassId requestClass) {
    requests[requestClass.index()]++;
  }

  /** Counts an admitted request that ended without a successful answer. */
  public void recordUnansweredRequest(RequestClassId requestClass) {
    unanswered[requestClass.index()]++;
  }

  /**
   * Records an attempt that has ended.
   *
   * @param load load report of the answer, or null if there is none
   */
  public void recordAttempt(
      EndpointId endpoint, boolean succeeded, long durationDeciMillis, LoadReport load) {
    EndpointCounters counters =
        countersByEndpoint.computeIfAbsent(endpoint.name(), name -> new EndpointCounters());
    counters.attempts++;
    if (succeeded) {
      counters.totalSuccessDeciMillis += durationDeciMillis;
    } else {
      counters.failures++;
    }
    if (load != null) {
      counters.load = load;
    }
  }

  /** The observations of each endpoint, ordered by its name. */
  public List<EndpointObservation> observations() {
    List<EndpointObservation> observations = new ArrayList<>();
    countersByEndpoint.forEach(
        (endpoint, c) ->
            observations.add(
                new EndpointObservation(
                    endpoint, c.attempts, c.failures, c.totalSuccessDeciMillis, c.load)));
    return observations;
  }

  /** Number of requests of a class that were received. */
  public long requests(RequestClassId requestClass) {
    return requests[requestClass.index()];
  }

  /** Number of requests of a class that were admitted and ended without a successful answer. */
  public long unansweredRequests(RequestClassId requestClass) {
    return unanswered[requestClass.index()];
  }

  /** Length of the current interval; at least 1. */
  public long intervalDeciMillis(long now) {
    return Math.max(1, now - intervalStart);
  }

  /** Clears all counters and starts the next interval. */
  public void reset(long now) {
    countersByEndpoint.clear();
    Arrays.fill(requests, 0);
    Arrays.fill(unanswered, 0);
    intervalStart = now;
  }
}
