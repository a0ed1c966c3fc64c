package stonespring.proxyapi.platform;

import java.util.Map;
import java.util.Set;
import stonespring.line.LineMessage;
import stonespring.model.*;
import stonespring.proxyapi.NameTable;

/**
 * The platform's messages as events. Times come in milliseconds. A fault's text names the message
 * and the field. Load figures go by the platform's names or by those of the settings; what has
 * neither is passed over.
 */
final class PlatformMessageCodec {
  /** A message that can't be used. */
  static final class BadWord extends RuntimeException {
    private static final long serialVersionUID = 1;

    BadWord(LineMessage message, String field, String what) {
      super(message.kind() + ": field '" + field + "' " + what, null, false, false);
    }

    BadWord(LineMessage message, String what) {
      super(message.kind() + ": " + what, null, false, false);
    }
  }

  static final String JOIN = "SUBSCRIBE";
  static final String COLLECTOR = "SOURCE";
  static final String SUMS = "LOAD";
  static final String OPS = "RATE";
  static final String ANSWER = "ACK";

  /**
   * All kinds that the protocol has: a message of one of these is read as one, whoever sends it.
   */
  static final Set<String> KINDS =
      Set.of(
          JOIN, COLLECTOR, SUMS, OPS, ANSWER, "CLOSED", "SHARD", "GRANT", "ROW", "PING", "PONG",
          "CONFIG", "NACK");

  private static final double COUNT_MOST =
      1e7; // ops or tries of one sum; far above what a task serves
  private static final double SPAN_MOST = 600_000; // ms; longer is a fault of its clock
  private static final double RATE_MOST = 1e7; // ops a second of one proxy; as above
  private static final double BUSY_MOST = 2; // share; a figure with noise may pass 1
  private static final double FIGURE_MOST = 1e7; // of any other load figure

  private final NameTable names;
  private final int proxies;

  PlatformMessageCodec(NameTable names, int proxies) {
    this.names = names;
    this.proxies = proxies;
  }

  private static String word(LineMessage m, String field) {
    if (m.error().isPresent()) {
      throw new BadWord(m, m.error().get());
    }
    String value = m.fields().get(field);
    if (value == null) {
      throw new BadWord(m, field, "is missing");
    }
    return value;
  }

  private static BadWord bad(LineMessage m, String field, String what, String value) {
    return new BadWord(m, field, what + ": " + LineMessage.printable(value));
  }

  private static double number(LineMessage m, String field, String value, double most) {
    double number = Double.NaN;
    if (value.matches("[0-9]{1,18}(\\.[0-9]{1,18})?([eE][+-]?[0-9]{1,3})?")) {
      number = Double.parseDouble(value);
    }
    if (!(number >= 0 && number <= most)) {
      throw bad(m, field, "is not a number from 0 to " + most, value);
    }
    return number;
  }

  private static long whole(LineMessage m, String field, double most) {
    String value = word(m, field);
    if (!value.matches("[0-9]{1,18}")) {
      throw bad(m, field, "is not a whole number", value);
    }
    return (long) number(m, field, value, most);
  }

  private static long time(LineMessage m, String field) {
    return DeciMillis.ofSeconds(number(m, field, word(m, field), SPAN_MOST) / 1000);
  }

  private static long span(LineMessage m) {
    long span = time(m, "over");
    if (span < 1) {
      throw new BadWord(m, "over", "is no span of time");
    }
    return span;
  }

  private ZoneId zone(LineMessage m) {
    String name = word(m, "site");
    ZoneId zone = names.zone(name);
    if (zone == null) {
      throw bad(m, "site", "names no zone of the settings", name);
    }
    return zone;
  }

  private ProxyId proxy(LineMessage m) {
    long id = whole(m, "id", Integer.MAX_VALUE);
    if (id >= proxies) {
      throw new BadWord(m, "id", "names no proxy of the settings: " + id);
    }
    return new ProxyId((int) id);
  }

  ZoneId collector(LineMessage m) {
    return zone(m);
  }

  Event.ProxyConnected join(LineMessage m) {
    String fresh = word(m, "new");
    if (!fresh.equals("0") && !fresh.equals("1")) {
      throw bad(m, "new", "is neither 0 nor 1", fresh);
    }
    return new Event.ProxyConnected(
        proxy(m), zone(m), number(m, "rps", word(m, "rps"), RATE_MOST), fresh.equals("1"));
  }

  Event.UpdateAcknowledged answer(LineMessage m) {
    return new Event.UpdateAcknowledged(
        proxy(m), new AckId((int) whole(m, "seq", 65_535)), time(m, "ms"));
  }

  Event.ProxyRequestRate ops(LineMessage m) {
    String name = word(m, "lane");
    RequestClassId opType = names.opType(name);
    if (opType == null) {
      throw bad(m, "lane", "names no op type of the settings", name);
    }
    return new Event.ProxyRequestRate(
        proxy(m), opType, whole(m, "count", COUNT_MOST), whole(m, "fail", COUNT_MOST), span(m));
  }

  Event.EndpointOutcomes sums(LineMessage m) {
    long tries = whole(m, "count", COUNT_MOST);
    long bad = whole(m, "fail", COUNT_MOST);
    if (bad > tries) {
      throw new BadWord(m, "fail", "is more than 'count'");
    }
    return new Event.EndpointOutcomes(
        new EndpointId(word(m, "target")), zone(m), tries, bad, span(m), time(m, "mean"), load(m));
  }

  private static LoadReport load(LineMessage m) {
    String pairs = m.fields().get("util");
    if (pairs == null || pairs.isEmpty()) {
      return LoadReport.NONE;
    }
    double busy = Double.NaN;
    double waiting = Double.NaN;
    double inHand = Double.NaN;
    double workMs = Double.NaN;
    double opsPerSecond = Double.NaN;
    for (String pair : pairs.split(",", -1)) {
      int at = pair.indexOf(':');
      if (at < 1) {
        throw bad(m, "util", "holds no name:value", pair);
      }
      String value = pair.substring(at + 1);
      switch (pair.substring(0, at)) {
        case "util", "utilization" -> busy = number(m, "util", value, BUSY_MOST);
        case "queue", "backlog" -> waiting = number(m, "util", value, FIGURE_MOST);
        case "inflight", "outstanding" -> inHand = number(m, "util", value, FIGURE_MOST);
        case "latency_ms", "recent_ms" -> workMs = number(m, "util", value, FIGURE_MOST);
        case "qps", "throughput" -> opsPerSecond = number(m, "util", value, FIGURE_MOST);
        default -> {} // a figure that the decisions don't read
      }
    }
    return new LoadReport(busy, waiting, inHand, workMs, opsPerSecond);
  }

  /** A message as a log line may hold it. */
  static String told(LineMessage m) {
    StringBuilder text = new StringBuilder(LineMessage.printable(m.kind()));
    for (Map.Entry<String, String> word : m.fields().entrySet()) {
      text.append(' ')
          .append(LineMessage.printable(word.getKey()))
          .append('=')
          .append(LineMessage.printable(word.getValue()));
    }
    return text.substring(0, Math.min(200, text.length()));
  }
}
