package stonespring.proxyapi;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;
import stonespring.state.ProxyHello;
import stonespring.state.ReportAggregator;

/** Reads what proxies say, as JSON objects; a fault's text names the message and the field. */
public final class ProxyMessageCodec {
  /** A word that can't be read. */
  public static final class BadWord extends RuntimeException {
    private static final long serialVersionUID = 1;

    BadWord(String message) {
      super(message, null, false, false);
    }
  }

  /** What a proxy met since its last report. Span in tenths of a millisecond. */
  public record Report(
      long span, List<ReportAggregator.Met> met, List<ReportAggregator.Came> came) {}

  /** A proxy has applied the message that carried this mark. */
  public record Answer(String stream, int mark, long took) {}

  private static final int NAME_MOST = 200; // characters of a task's or proxy's name
  private static final int LIST_MOST = 4096; // entries of a list in one word
  private static final double SPAN_MOST = 3600; // s; a longer one is a fault of the proxy's clock
  private static final double OPS_MOST = 1e9; // ops; as above
  private static final ObjectMapper JSON =
      new ObjectMapper(
          JsonFactory.builder()
              .streamReadConstraints(
                  StreamReadConstraints.builder().maxNestingDepth(8).maxStringLength(4096).build())
              .build());

  private final NameTable names;

  public ProxyMessageCodec(NameTable names) {
    this.names = names;
  }

  private static JsonNode object(String word, byte[] bytes) {
    try {
      JsonNode node = JSON.readTree(bytes);
      if (node == null || !node.isObject()) {
        throw new BadWord(word + ": it is no JSON object");
      }
      return node;
    } catch (JsonProcessingException e) {
      throw new BadWord(
          word + ": it is no well-formed JSON: " + e.getOriginalMessage().split("\n")[0]);
    } catch (IOException e) {
      throw new BadWord(word + ": it can't be read: " + e.getMessage());
    }
  }

  private static BadWord bad(String word, String field, String what) {
    return new BadWord(word + ": field '" + field + "' " + what);
  }

  private static JsonNode field(String word, JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw bad(word, field, "is missing");
    }
    return value;
  }

  private static String name(String word, String field, JsonNode value) {
    String text = value.isTextual() ? value.asText() : "";
    if (text.isEmpty()
        || text.length() > NAME_MOST
        || text.chars().anyMatch(c -> c <= ' ' || c == '/')) {
      throw bad(
          word, field, "is not a name of 1 to " + NAME_MOST + " characters without slash or space");
    }
    return text;
  }

  private static double number(String word, String field, JsonNode value, double most) {
    if (!value.isNumber() || !(value.asDouble() >= 0) || value.asDouble() > most) {
      throw bad(word, field, "is not a number from 0 to " + most);
    }
    return value.asDouble();
  }

  private static long whole(String word, String field, JsonNode value, double most) {
    if (!value.isIntegralNumber()) {
      throw bad(word, field, "is not a whole number");
    }
    return (long) number(word, field, value, most);
  }

  private static JsonNode list(String word, JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isMissingNode() && (!value.isArray() || value.size() > LIST_MOST)) {
      throw bad(word, field, "is not a list of at most " + LIST_MOST);
    }
    return value;
  }

  public ProxyHello hello(byte[] bytes) {
    JsonNode node = object("presence", bytes);
    String zoneName = name("presence", "zone", field("presence", node, "zone"));
    ZoneId zone = names.zone(zoneName);
    if (zone == null) {
      throw bad("presence", "zone", "names no zone of the settings: " + zoneName);
    }
    List<EndpointId> holds = null;
    if (node.has("holds")) {
      holds = new ArrayList<>();
      for (JsonNode task : list("presence", node, "holds")) {
        holds.add(new EndpointId(name("presence", "holds", task)));
      }
    }
    JsonNode fresh = field("presence", node, "fresh");
    if (!fresh.isBoolean()) {
      throw bad("presence", "fresh", "is neither true nor false");
    }
    return new ProxyHello(
        name("presence", "life", field("presence", node, "life")),
        whole("presence", "stream", field("presence", node, "stream"), Long.MAX_VALUE),
        zone,
        number("presence", "ops", field("presence", node, "ops"), OPS_MOST),
        fresh.asBoolean(),
        holds);
  }

  /**
   * {@code tasks}: lists of task, tries, bad, mean seconds of the good ones, and a load report or
   * null.
   */
  public Report report(byte[] bytes) {
    JsonNode node = object("report", bytes);
    double span = number("report", "span", field("report", node, "span"), SPAN_MOST);
    List<ReportAggregator.Met> met = new ArrayList<>();
    for (JsonNode row : list("report", node, "tasks")) {
      if (!row.isArray() || row.size() < 4) {
        throw bad(
            "report", "tasks", "holds a row that is not a list of task, tries, bad, seconds, load");
      }
      long tries = whole("report", "tasks", row.get(1), OPS_MOST);
      long badTries = whole("report", "tasks", row.get(2), OPS_MOST);
      if (badTries > tries) {
        throw bad("report", "tasks", "tells more bad tries than tries");
      }
      met.add(
          new ReportAggregator.Met(
              new EndpointId(name("report", "tasks", row.get(0))),
              tries,
              badTries,
              DeciMillis.ofSeconds(number("report", "tasks", row.get(3), SPAN_MOST)),
              load(row.path(4))));
    }
    List<ReportAggregator.Came> came = new ArrayList<>();
    for (JsonNode row : list("report", node, "ops")) {
      if (!row.isArray() || row.size() != 3) {
        throw bad("report", "ops", "holds a row that is not a list of op type, ops, unanswered");
      }
      RequestClassId opType = names.opType(row.get(0).asText());
      if (opType == null) {
        throw bad("report", "ops", "names no op type of the settings: " + row.get(0).asText());
      }
      came.add(
          new ReportAggregator.Came(
              opType,
              whole("report", "ops", row.get(1), OPS_MOST),
              whole("report", "ops", row.get(2), OPS_MOST)));
    }
    return new Report(Math.max(1, DeciMillis.ofSeconds(span)), met, came);
  }

  private static LoadReport load(JsonNode node) {
    if (!node.isObject()) {
      return LoadReport.NONE;
    }
    return new LoadReport(
        figure(node, "busy"),
        figure(node, "waiting"),
        figure(node, "in_hand"),
        figure(node, "work_ms"),
        figure(node, "ops_per_s"));
  }

  private static double figure(JsonNode node, String field) {
    JsonNode value = node.path(field);
    return value.isMissingNode() || value.isNull()
        ? Double.NaN
        : number("report", "tasks." + field, value, OPS_MOST);
  }

  public Answer answer(byte[] bytes) {
    JsonNode node = object("answer", bytes);
    return new Answer(
        name("answer", "origin", field("answer", node, "origin")),
        (int) whole("answer", "mark", field("answer", node, "mark"), 65_535),
        DeciMillis.ofSeconds(number("answer", "took", field("answer", node, "took"), SPAN_MOST)));
  }
}
