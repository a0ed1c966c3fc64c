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
 * Sums the reports of proxies until they are drained: one figure for each pair of endpoint and
 * zone, one for each pair of proxy and request class, however often proxies report. The number of
 * pairs is bounded; what is reported of pairs beyond it is dropped and counted. Not safe for
 * several threads.
 */
public final class ReportAggregator {
  private static final int REQUEST_CLASS_BITS = 16;

  /** What the proxies of one zone observed at one endpoint. */
  private static final class EndpointTotals {
    private final EndpointId endpoint;
    private final ZoneId zone;
    private long attempts;
    private long failures;
    private double totalSuccessLatency;
    private LoadReport load = LoadReport.NONE;
    private final Map<Integer, Long> intervalsByProxy = new HashMap<>();

    EndpointTotals(EndpointId endpoint, ZoneId zone) {
      this.endpoint = endpoint;
      this.zone = zone;
    }

    void add(ProxyId proxy, long interval, ProxyReport.EndpointObservation observation) {
      long successes = observation.attempts() - observation.failures();
      attempts += observation.attempts();
      failures += observation.failures();
      totalSuccessLatency += (double) observation.successLatency() * successes;
      intervalsByProxy.merge(proxy.number(), interval, Long::sum);
      if (observation.load() != LoadReport.NONE) {
        load = observation.load();
      }
    }

    Event.EndpointOutcomes toEvent() {
      long successes = attempts - failures;
      long interval = intervalsByProxy.values().stream().mapToLong(s -> s).max().orElse(1);
      long meanLatency =
          successes > 0 ? Math.max(1, Math.round(totalSuccessLatency / successes)) : 0;
      return new Event.EndpointOutcomes(
          endpoint, zone, attempts, failures, interval, meanLatency, load);
    }
  }

  /** What one proxy received of one request class. */
  private static final class RequestTotals {
    private final ProxyId proxy;
    private final RequestClassId requestClass;
    private long requests;
    private long unanswered;
    private long interval;

    RequestTotals(ProxyId proxy, RequestClassId requestClass) {
      this.proxy = proxy;
      this.requestClass = requestClass;
    }

    void add(long reportInterval, ProxyReport.RequestCount count) {
      requests += count.requests();
      unanswered += count.unanswered();
      interval += reportInterval;
    }

    Event.ProxyRequestRate toEvent() {
      return new Event.ProxyRequestRate(proxy, requestClass, requests, unanswered, interval);
    }
  }

  private final int maxPairs;
  // The order of these keys is the order of the events, which decisions depend on.
  private final TreeMap<String, EndpointTotals> endpointTotals = new TreeMap<>();
  private final TreeMap<Long, RequestTotals> requestTotals = new TreeMap<>();
  private long droppedObservations;

  /**
   * Creates an aggregator that holds nothing.
   *
   * @param maxPairs the most pairs of each kind that are held
   */
  public ReportAggregator(int maxPairs) {
    this.maxPairs = maxPairs;
  }

  /** Adds one report of a proxy. */
  public void add(ProxyId proxy, ZoneId zone, ProxyReport report) {
    for (ProxyReport.EndpointObservation observation : report.endpoints()) {
      addObservation(proxy, zone, report.interval(), observation);
    }
    for (ProxyReport.RequestCount count : report.requests()) {
      addCount(proxy, report.interval(), count);
    }
  }

  private void addObservation(
      ProxyId proxy, ZoneId zone, long interval, ProxyReport.EndpointObservation observation) {
    String key = zone.index() + "|" + observation.endpoint().name();
    EndpointTotals totals = endpointTotals.get(key);
    if (totals == null) {
      if (endpointTotals.size() >= maxPairs) {
        droppedObservations++;
        return;
      }
      totals = new EndpointTotals(observation.endpoint(), zone);
      endpointTotals.put(key, totals);
    }
    totals.add(proxy, interval, observation);
  }

  private void addCount(ProxyId proxy, long interval, ProxyReport.RequestCount count) {
    long key = firstKey(proxy.number()) | count.requestClass().index();
    RequestTotals totals = requestTotals.get(key);
    if (totals == null) {
      if (requestTotals.size() >= maxPairs) {
        droppedObservations++;
        return;
      }
      totals = new RequestTotals(proxy, count.requestClass());
      requestTotals.put(key, totals);
    }
    totals.add(interval, count);
  }

  private static long firstKey(long proxyNumber) {
    return proxyNumber << REQUEST_CLASS_BITS;
  }

  /**
   * A proxy disconnected: what it received is no demand here any more. What it observed at
   * endpoints stays true.
   */
  public void discardRequestCounts(ProxyId proxy) {
    requestTotals.subMap(firstKey(proxy.number()), firstKey(proxy.number() + 1L)).clear();
  }

  /** Returns all totals as events, and starts anew. */
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

  /** How many observations and request counts were dropped at the bound of pairs, ever. */
  public long droppedObservations() {
    return droppedObservations;
  }
}
