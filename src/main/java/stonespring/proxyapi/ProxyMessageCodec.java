package stonespring.proxyapi;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import stonespring.model.AckId;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/**
 * Decodes the messages that proxies send as JSON objects; {@code docs/channel.md} describes their
 * format. The read methods throw {@link InvalidMessageException} if a message is invalid.
 */
public final class ProxyMessageCodec {
  private static final String PRESENCE = "presence";
  private static final String ZONE = "zone";
  private static final String TABLE_ENDPOINTS = "holds";
  private static final String WITHOUT_TABLES = "fresh";
  private static final String PROCESS_ID = "life";
  private static final String SESSION_COUNT = "stream";
  private static final String REQUESTS_PER_SECOND = "ops";

  private static final String REPORT = "report";
  private static final String INTERVAL = "span";
  private static final String ENDPOINTS = "tasks";
  private static final String REQUESTS = "ops";
  private static final String UTILIZATION = "busy";
  private static final String QUEUE_LENGTH = "waiting";
  private static final String IN_FLIGHT = "in_hand";
  private static final String SERVICE_TIME_MILLIS = "work_ms";
  private static final String LOAD_REQUESTS_PER_SECOND = "ops_per_s";

  private static final String ACKNOWLEDGEMENT = "answer";
  private static final String ORIGIN = "origin";
  private static final String ACK_ID = "mark";
  private static final String DURATION = "took";

  /** A longer duration indicates that the clock of the proxy is wrong. */
  private static final double MAX_DURATION_SECONDS = 3600;

  /** Upper bound of a request rate, a number of requests or attempts, or a load metric. */
  private static final double MAX_NUMBER = 1e9;

  private static final int MAX_ACK_ID = 65_535;

  private final NameTable names;

  /** Creates a codec that resolves the names of zones and request classes with the given table. */
  public ProxyMessageCodec(NameTable names) {
    this.names = names;
  }

  /** Reads the message by which a proxy announces its presence. */
  public ProxyHello readHello(byte[] bytes) {
    JsonMessage message = JsonMessage.parse(PRESENCE, bytes);
    String zoneName = message.name(ZONE);
    ZoneId zone =
        names
            .zone(zoneName)
            .orElseThrow(
                () ->
                    message.invalid(ZONE, "names a zone that is not in the settings: " + zoneName));
    Optional<List<EndpointId>> tableEndpoints = readTableEndpoints(message);
    boolean withoutTables = message.flag(WITHOUT_TABLES);
    return new ProxyHello(
        message.name(PROCESS_ID),
        message.wholeNumber(SESSION_COUNT, Long.MAX_VALUE),
        zone,
        message.number(REQUESTS_PER_SECOND, MAX_NUMBER),
        withoutTables,
        tableEndpoints);
  }

  private static Optional<List<EndpointId>> readTableEndpoints(JsonMessage message) {
    if (!message.has(TABLE_ENDPOINTS)) {
      return Optional.empty();
    }
    List<EndpointId> endpoints = new ArrayList<>();
    for (JsonNode endpoint : message.list(TABLE_ENDPOINTS)) {
      endpoints.add(new EndpointId(message.name(TABLE_ENDPOINTS, endpoint)));
    }
    return Optional.of(endpoints);
  }

  /** Reads a report: the endpoint outcomes and the request counts that a proxy observed. */
  public ProxyReport readReport(byte[] bytes) {
    JsonMessage message = JsonMessage.parse(REPORT, bytes);
    double seconds = message.number(INTERVAL, MAX_DURATION_SECONDS);
    List<ProxyReport.EndpointObservation> endpoints = new ArrayList<>();
    for (JsonNode row : message.list(ENDPOINTS)) {
      endpoints.add(readObservation(message, row));
    }
    List<ProxyReport.RequestCount> requests = new ArrayList<>();
    for (JsonNode row : message.list(REQUESTS)) {
      requests.add(readRequestCount(message, row));
    }
    return new ProxyReport(Math.max(1, DeciMillis.ofSeconds(seconds)), endpoints, requests);
  }

  /**
   * Reads one row: endpoint, attempts, failures, mean duration of successful attempts in seconds,
   * and an optional load report.
   */
  private static ProxyReport.EndpointObservation readObservation(
      JsonMessage message, JsonNode row) {
    if (!row.isArray() || row.size() < 4) {
      throw message.invalid(
          ENDPOINTS,
          "has a row that is not a list of endpoint, attempts, failures, mean seconds, load");
    }
    long attempts = message.wholeNumber(ENDPOINTS, row.get(1), MAX_NUMBER);
    long failures = message.wholeNumber(ENDPOINTS, row.get(2), MAX_NUMBER);
    if (failures > attempts) {
      throw message.invalid(ENDPOINTS, "has a row with more failures than attempts");
    }
    return new ProxyReport.EndpointObservation(
        new EndpointId(message.name(ENDPOINTS, row.get(0))),
        attempts,
        failures,
        DeciMillis.ofSeconds(message.number(ENDPOINTS, row.get(3), MAX_DURATION_SECONDS)),
        readLoadReport(message, row.path(4)));
  }

  /** Reads one row: request class, number of requests, number of unanswered requests. */
  private ProxyReport.RequestCount readRequestCount(JsonMessage message, JsonNode row) {
    if (!row.isArray() || row.size() != 3) {
      throw message.invalid(
          REQUESTS, "has a row that is not a list of request class, requests, unanswered requests");
    }
    String className = row.get(0).asText();
    RequestClassId requestClass =
        names
            .requestClass(className)
            .orElseThrow(
                () ->
                    message.invalid(
                        REQUESTS,
                        "names a request class that is not in the settings: " + className));
    return new ProxyReport.RequestCount(
        requestClass,
        message.wholeNumber(REQUESTS, row.get(1), MAX_NUMBER),
        message.wholeNumber(REQUESTS, row.get(2), MAX_NUMBER));
  }

  private static LoadReport readLoadReport(JsonMessage message, JsonNode load) {
    if (!load.isObject()) {
      return LoadReport.NONE;
    }
    return new LoadReport(
        readLoadMetric(message, load, UTILIZATION),
        readLoadMetric(message, load, QUEUE_LENGTH),
        readLoadMetric(message, load, IN_FLIGHT),
        readLoadMetric(message, load, SERVICE_TIME_MILLIS),
        readLoadMetric(message, load, LOAD_REQUESTS_PER_SECOND));
  }

  /** Returns a load metric; NaN if it is missing. */
  private static double readLoadMetric(JsonMessage message, JsonNode load, String field) {
    JsonNode value = load.path(field);
    return value.isMissingNode() || value.isNull()
        ? Double.NaN
        : message.number(ENDPOINTS + "." + field, value, MAX_NUMBER);
  }

  /** Reads the message by which a proxy acknowledges an update. */
  public ProxyAcknowledgement readAcknowledgement(byte[] bytes) {
    JsonMessage message = JsonMessage.parse(ACKNOWLEDGEMENT, bytes);
    return new ProxyAcknowledgement(
        message.name(ORIGIN),
        new AckId((int) message.wholeNumber(ACK_ID, MAX_ACK_ID)),
        DeciMillis.ofSeconds(message.number(DURATION, MAX_DURATION_SECONDS)));
  }
}
