package stonespring.proxy.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;

/**
 * What a proxy observed since its last report: one figure for each endpoint and request class,
 * however many requests there are. Times are in {@link stonespring.model.DeciMillis}.
 */
public final class RequestStatistics {
  /**
   * What was observed at one endpoint.
   *
   * @param totalSuccessDeciMillis the successful attempts' durations added up
   * @param load the latest load report, or null
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

  /** A request was received. */
  public void recordRequest(RequestClassId requestClass) {
    requests[requestClass.index()]++;
  }

  /** An admitted request ended without a successful answer. */
  public void recordUnansweredRequest(RequestClassId requestClass) {
    unanswered[requestClass.index()]++;
  }

  /**
   * An attempt ended.
   *
   * @param load null if the answer brought none
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

  /** What was observed at each endpoint, by name. */
  public List<EndpointObservation> observations() {
    List<EndpointObservation> observations = new ArrayList<>();
    countersByEndpoint.forEach(
        (endpoint, c) ->
            observations.add(
                new EndpointObservation(
                    endpoint, c.attempts, c.failures, c.totalSuccessDeciMillis, c.load)));
    return observations;
  }

  /** Requests of a class that were received. */
  public long requests(RequestClassId requestClass) {
    return requests[requestClass.index()];
  }

  /** Requests of a class that were admitted and ended without a successful answer. */
  public long unansweredRequests(RequestClassId requestClass) {
    return unanswered[requestClass.index()];
  }

  /** The time that the figures stand for; at least 1. */
  public long intervalDeciMillis(long now) {
    return Math.max(1, now - intervalStart);
  }

  /** Starts the next interval: what was gathered is reported. */
  public void reset(long now) {
    countersByEndpoint.clear();
    Arrays.fill(requests, 0);
    Arrays.fill(unanswered, 0);
    intervalStart = now;
  }
}
