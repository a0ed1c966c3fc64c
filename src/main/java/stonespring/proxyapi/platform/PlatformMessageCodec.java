package stonespring.proxyapi.platform;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import stonespring.line.LineMessage;
import stonespring.model.AckId;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RetryPolicy;
import stonespring.model.ZoneId;
import stonespring.proxyapi.InvalidMessageException;
import stonespring.proxyapi.NameTable;
import stonespring.state.AdmissionLimit;
import stonespring.state.PlainDecimal;
import stonespring.state.ProxyChange;

/**
 * Codec of the platform's protocol: decodes messages to events and encodes updates as messages.
 * Durations are in milliseconds on the wire. The read methods throw {@link InvalidMessageException}
 * if a message is invalid.
 */
final class PlatformMessageCodec {
  /** Kind of the message by which a proxy announces itself and starts a session. */
  static final String SUBSCRIBE = "SUBSCRIBE";

  /** Kind of the message by which the collector of a zone announces itself. */
  static final String SOURCE = "SOURCE";

  /**
   * Kind of a collector's report of the outcomes that the zone's proxies observed at an endpoint.
   */
  static final String LOAD = "LOAD";

  /** Kind of a report of the requests that a proxy received. */
  static final String RATE = "RATE";

  /** Kind of the message by which a proxy acknowledges an update. */
  static final String ACK = "ACK";

  /** Kind of the response to a keep-alive. */
  static final String PONG = "PONG";

  /** Kind of the message that carries an update to a proxy. */
  private static final String CONFIG = "CONFIG";

  /** All kinds of messages in the protocol; a peer that sends any other kind is disconnected. */
  private static final Set<String> KINDS =
      Set.of(
          SUBSCRIBE, SOURCE, LOAD, RATE, ACK, PONG, CONFIG, "CLOSED", "SHARD", "GRANT", "ROW",
          "PING", "NACK");

  private static final String PROXY = "id";
  private static final String ZONE = "site";
  private static final String REQUESTS_PER_SECOND = "rps";
  private static final String WITHOUT_TABLES = "new";
  private static final String ACK_ID = "seq";
  private static final String ACK_DURATION = "ms";
  private static final String REQUEST_CLASS = "lane";
  private static final String ENDPOINT = "target";
  private static final String COUNT = "count";
  private static final String FAILURES = "fail";
  private static final String MEAN_LATENCY = "mean";
  private static final String INTERVAL = "over";
  private static final String LOAD_METRICS = "util";

  /** Maximum number of requests or attempts in one report, far above what an endpoint serves. */
  private static final double MAX_COUNT = 1e7;

  /** Maximum request rate of one proxy. */
  private static final double MAX_REQUESTS_PER_SECOND = 1e7;

  /** The utilization is a fraction, but a noisy measurement may exceed 1. */
  private static final double MAX_UTILIZATION = 2;

  private static final double MAX_LOAD_METRIC = 1e7;
  private static final int MAX_ACK_ID = 65_535;
  private static final int MAX_DESCRIPTION_CHARS = 200;

  private final NameTable names;
  private final int proxyCount;

  /**
   * Creates a codec.
   *
   * @param proxyCount the number of proxies in the settings; proxies are numbered from 0
   */
  PlatformMessageCodec(NameTable names, int proxyCount) {
    this.names = names;
    this.proxyCount = proxyCount;
  }

  /** Returns whether the protocol has messages of the given kind. */
  static boolean isKnownKind(String kind) {
    return KINDS.contains(kind);
  }

  /** Reads SOURCE, and returns the zone of the collector that sent it. */
  ZoneId readSource(LineMessage message) {
    return readZone(new MessageFields(message));
  }

  /** Reads SUBSCRIBE. The messages of its exceptions are sent to the peer. */
  Event.ProxyConnected readSubscribe(LineMessage message) {
    MessageFields fields = new MessageFields(message);
    boolean withoutTables = fields.flag(WITHOUT_TABLES);
    return new Event.ProxyConnected(
        readProxy(fields),
        readZone(fields),
        fields.number(REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND),
        withoutTables);
  }

  /** Reads ACK. */
  Event.UpdateAcknowledged readAck(LineMessage message) {
    MessageFields fields = new MessageFields(message);
    return new Event.UpdateAcknowledged(
        readProxy(fields),
        new AckId((int) fields.wholeNumber(ACK_ID, MAX_ACK_ID)),
        fields.durationDeciMillis(ACK_DURATION));
  }

  /** Reads RATE. */
  Event.ProxyRequestRate readRate(LineMessage message) {
    MessageFields fields = new MessageFields(message);
    RequestClassId requestClass = readRequestClass(fields);
    return new Event.ProxyRequestRate(
        readProxy(fields),
        requestClass,
        fields.wholeNumber(COUNT, MAX_COUNT),
        fields.wholeNumber(FAILURES, MAX_COUNT),
        fields.intervalDeciMillis(INTERVAL));
  }

  /** Reads LOAD. */
  Event.EndpointOutcomes readLoad(LineMessage message) {
    MessageFields fields = new MessageFields(message);
    long attempts = fields.wholeNumber(COUNT, MAX_COUNT);
    long failures = fields.wholeNumber(FAILURES, MAX_COUNT);
    if (failures > attempts) {
      throw fields.invalid(FAILURES, "is greater than '" + COUNT + "'");
    }
    return new Event.EndpointOutcomes(
        new EndpointId(fields.text(ENDPOINT)),
        readZone(fields),
        attempts,
        failures,
        fields.intervalDeciMillis(INTERVAL),
        fields.durationDeciMillis(MEAN_LATENCY),
        readLoadReport(fields));
  }

  /** Returns an exception for a LOAD message about an endpoint that is not known. */
  static InvalidMessageException unlistedEndpoint() {
    return new InvalidMessageException(
        LOAD, ENDPOINT, "names an endpoint that is not known from the endpoint list");
  }

  /** Returns an exception for a message about a proxy that is not connected, or not the sender. */
  static InvalidMessageException wrongProxy(LineMessage message) {
    return new InvalidMessageException(
        message.kind(), PROXY, "names a proxy that is not connected or is not the sender");
  }

  /** Returns an exception for an acknowledgement that is not pending. */
  static InvalidMessageException unrequestedAck() {
    return new InvalidMessageException(ACK, ACK_ID, "names no pending acknowledgement");
  }

  private ZoneId readZone(MessageFields fields) {
    String name = fields.text(ZONE);
    return names
        .zone(name)
        .orElseThrow(() -> fields.invalidValue(ZONE, "names no zone of the settings", name));
  }

  private RequestClassId readRequestClass(MessageFields fields) {
    String name = fields.text(REQUEST_CLASS);
    return names
        .requestClass(name)
        .orElseThrow(
            () ->
                fields.invalidValue(REQUEST_CLASS, "names no request class of the settings", name));
  }

  private ProxyId readProxy(MessageFields fields) {
    long number = fields.wholeNumber(PROXY, Integer.MAX_VALUE);
    if (number >= proxyCount) {
      throw fields.invalid(PROXY, "names no proxy of the settings: " + number);
    }
    return new ProxyId((int) number);
  }

  /** Reads {@code name:value} pairs; each load metric has two accepted names. */
  private static LoadReport readLoadReport(MessageFields fields) {
    String pairs = fields.optionalText(LOAD_METRICS);
    if (pairs.isEmpty()) {
      return LoadReport.NONE;
    }
    double utilization = Double.NaN;
    double queueLength = Double.NaN;
    double inFlight = Double.NaN;
    double serviceTimeMillis = Double.NaN;
    double requestsPerSecond = Double.NaN;
    for (String pair : pairs.split(",", -1)) {
      int colon = pair.indexOf(':');
      if (colon < 1) {
        throw fields.invalidValue(LOAD_METRICS, "has an element that is not name:value", pair);
      }
      String value = pair.substring(colon + 1);
      switch (pair.substring(0, colon)) {
        case "util", "utilization" ->
            utilization = fields.number(LOAD_METRICS, value, MAX_UTILIZATION);
        case "queue", "backlog" -> queueLength = readLoadMetric(fields, value);
        case "inflight", "outstanding" -> inFlight = readLoadMetric(fields, value);
        case "latency_ms", "recent_ms" -> serviceTimeMillis = readLoadMetric(fields, value);
        case "qps", "throughput" -> requestsPerSecond = readLoadMetric(fields, value);
        default -> {
          // The decision engine does not use other load metrics.
        }
      }
    }
    return new LoadReport(utilization, queueLength, inFlight, serviceTimeMillis, requestsPerSecond);
  }

  private static double readLoadMetric(MessageFields fields, String value) {
    return fields.number(LOAD_METRICS, value, MAX_LOAD_METRIC);
  }

  /** Encodes an update as CONFIG lines, one for each part, without CR LF. */
  List<String> write(ConfigMessage message) {
    List<String> lines = new ArrayList<>();
    for (ConfigMessage.Part part : message.parts()) {
      lines.add(CONFIG + requestClassField(part.requestClasses()) + tableFields(part));
    }
    String common = commonFields(message);
    if (lines.isEmpty() && !common.isEmpty()) {
      lines.add(CONFIG);
    }
    int last = lines.size() - 1;
    for (int i = 0; i <= last; i++) {
      lines.set(i, lines.get(i) + (i < last ? " part=1" : common));
    }
    return lines;
  }

  /** Returns the field that names the request classes; empty if it would name all of them. */
  private String requestClassField(BitSet classes) {
    List<String> all = names.requestClasses();
    if (classes.cardinality() == all.size()) {
      return "";
    }
    return " for=" + classes.stream().mapToObj(all::get).collect(Collectors.joining("+"));
  }

  private static String tableFields(ConfigMessage.Part part) {
    StringBuilder text = new StringBuilder();
    if (part.replacesTable()) {
      text.append(" replace=1");
    }
    String separator = " rows=";
    for (ProxyChange.RouteChange route : part.routes()) {
      text.append(separator)
          .append(route.endpoint().name())
          .append(':')
          .append(PlainDecimal.format(route.weight()));
      separator = ",";
    }
    part.limit().ifPresent(limit -> text.append(limitFields(limit)));
    return text.toString();
  }

  private static String limitFields(AdmissionLimit limit) {
    return " gate="
        + PlainDecimal.format(Math.max(0, limit.limit()))
        + " again="
        + retryCode(limit.retryPolicy());
  }

  private static int retryCode(RetryPolicy policy) {
    return switch (policy) {
      case NEVER -> 0;
      case IF_NOT_EXECUTED -> 1;
      case ONCE_ON_FAILURE -> 2;
      case TWICE_ON_FAILURE -> 3;
    };
  }

  private static String commonFields(ConfigMessage message) {
    return endpointsField(" undrop=", message.exclusions().allowed())
        + endpointsField(" drop=", message.exclusions().excluded())
        + message.ack().map(ack -> " stamp=" + ack.number()).orElse("");
  }

  private static String endpointsField(String field, Set<EndpointId> endpoints) {
    return endpoints.isEmpty()
        ? ""
        : field + endpoints.stream().map(EndpointId::name).collect(Collectors.joining(","));
  }

  /** Returns a message in a form that is safe to log: shortened, printable ASCII only. */
  static String describe(LineMessage message) {
    StringBuilder text = new StringBuilder(LineMessage.printable(message.kind()));
    for (Map.Entry<String, String> field : message.fields().entrySet()) {
      text.append(' ')
          .append(LineMessage.printable(field.getKey()))
          .append('=')
          .append(LineMessage.printable(field.getValue()));
    }
    return text.substring(0, Math.min(MAX_DESCRIPTION_CHARS, text.length()));
  }
}
