package stonespring.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;

/**
 * Sums the reports of proxies until the totals are drained. It keeps one total for each pair of
 * endpoint and proxy zone, and one for each pair of proxy and request class. The number of pairs of
 * each kind is limited; observations of further pairs are dropped and counted. Not thread-safe.
 */
public final class ReportAggregator {
  /** Width of the request class index in the keys of the request totals. */
  private static final int REQUEST_CLASS_BITS = 16;

  /** The totals of the observations that the proxies of one zone made at one endpoint. */
  private static final class EndpointTotals {
    private final EndpointId endpoint;
    private final ZoneId zone;
    private long attempts;
    private long failures;
    private double successLatencySumDeciMillis;
    private LoadReport load = LoadReport.NONE;
    private final Map<Integer, Long> intervalDeciMillisByProxy = new HashMap<>();

    EndpointTotals(EndpointId endpoint, ZoneId zone) {
      this.endpoint = endpoint;
      this.zone = zone;
    }

    void add(ProxyId proxy, long intervalDeciMillis, ProxyReport.EndpointObservation observation) {
      long successes = observation.attempts() - observation.failures();
      attempts += observation.attempts();
      failures += observation.failures();
      successLatencySumDeciMillis += (double) observation.successLatency() * successes;
      intervalDeciMillisByProxy.merge(proxy.number(), intervalDeciMillis, Long::sum);
      if (observation.load() != LoadReport.NONE) {
        load = observation.load();
      }
    }

    Event.EndpointOutcomes toEvent() {
      long successes = attempts - failures;
      long longestIntervalDeciMillis =
          intervalDeciMillisByProxy.values().stream()
              .mapToLong(interval -> interval)
              .max()
              .orElse(1);
      long meanLatencyDeciMillis =
          successes > 0 ? Math.max(1, Math.round(successLatencySumDeciMillis / successes)) : 0;
      return new Event.EndpointOutcomes(
          endpoint,
          zone,
          attempts,
          failures,
          longestIntervalDeciMillis,
          meanLatencyDeciMillis,
          load);
    }
  }

  /** The totals of the requests of one class that one proxy received. */
  private static final class RequestTotals {
    private final ProxyId proxy;
    private final RequestClassId requestClass;
    private long requests;
    private long unanswered;
    private long intervalDeciMillis;

    RequestTotals(ProxyId proxy, RequestClassId requestClass) {
      this.proxy = proxy;
      this.requestClass = requestClass;
    }

    void add(long reportIntervalDeciMillis, ProxyReport.RequestCount count) {
      requests += count.requests();
      unanswered += count.unanswered();
      intervalDeciMillis += reportIntervalDeciMillis;
    }

    Event.ProxyRequestRate toEvent() {
      return new Event.ProxyRequestRate(
          proxy, requestClass, requests, unanswered, intervalDeciMillis);
    }
  }

  private final int maxPairs;
  // The order of the keys determines the order of the events, on which decisions depend.
  private final TreeMap<String, EndpointTotals> endpointTotals = new TreeMap<>();
  private final TreeMap<Long, RequestTotals> requestTotals = new TreeMap<>();
  private long droppedObservationCount;

  /**
   * Creates an aggregator without totals.
   *
   * @param maxPairs maximum number of pairs of each kind
   */
  public ReportAggregator(int maxPairs) {
    this.maxPairs = maxPairs;
  }

  /** Adds a report of a proxy to the totals. */
  public void add(ProxyId proxy, ZoneId zone, ProxyReport report) {
    for (ProxyReport.EndpointObservation observation : report.endpoints()) {
      addObservation(proxy, zone, report.interval(), observation);
    }
    for (ProxyReport.RequestCount count : report.requests()) {
      addRequestCount(proxy, report.interval(), count);
    }
  }

  private void addObservation(
      ProxyId proxy,
      ZoneId zone,
      long intervalDeciMillis,
      ProxyReport.EndpointObservation observation) {
    String key = zone.index() + "|" + observation.endpoint().name();
    EndpointTotals totals = endpointTotals.get(key);
    if (totals == null) {
      if (endpointTotals.size() >= maxPairs) {
        droppedObservationCount++;
        return;
      }
      totals = new EndpointTotals(observation.endpoint(), zone);
      endpointTotals.put(key, totals);
    }
    totals.add(proxy, intervalDeciMillis, observation);
  }

  private void addRequestCount(
      ProxyId proxy, long intervalDeciMillis, ProxyReport.RequestCount count) {
    long key = firstRequestKey(proxy.number()) | count.requestClass().index();
    RequestTotals totals = requestTotals.get(key);
    if (totals == null) {
      if (requestTotals.size() >= maxPairs) {
        droppedObservationCount++;
        return;
      }
      totals = new RequestTotals(proxy, count.requestClass());
      requestTotals.put(key, totals);
    }
    totals.add(intervalDeciMillis, count);
  }

  private static long firstRequestKey(long proxyNumber) {
    return proxyNumber << REQUEST_CLASS_BITS;
  }

  /**
   * Discards the request totals of a proxy that disconnected, since its requests are no longer
   * demand at this instance. Its observations of endpoints remain valid and are kept.
   */
  public void discardRequestCounts(ProxyId proxy) {
    requestTotals
        .subMap(firstRequestKey(proxy.number()), firstRequestKey(proxy.number() + 1L))
        .clear();
  }

  /** Returns all totals as events and resets them. */
  public List<Event> drain() {
    List<Event> events = new ArrayList<>();
    for (EndpointTotals totals : endpointTotals.values()) {
      if (totals.attempts > 0) {
        events.add(totals.toEvent());
      }
    }
    for (RequestTotals totals : requestTotals.values()) {
      events.add(totals.toEvent());
    }
    endpointTotals.clear();
    requestTotals.clear();
    return events;
  }

  /**
   * Returns the number of observations and request counts dropped since creation because of the
   * limit on pairs.
   */
  public long droppedObservationCount() {
    return droppedObservationCount;
  }
}
