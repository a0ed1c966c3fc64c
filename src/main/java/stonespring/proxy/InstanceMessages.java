package stonespring.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Map;
import stonespring.chp.ChpMessage;
import stonespring.model.DeciMillis;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;
import stonespring.proxy.routing.RequestStatistics;
import stonespring.proxy.routing.TableSubscriber;

/** Writes what a proxy tells an instance: keys and JSON values of {@code docs/channel.md}. */
final class InstanceMessages {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Endpoints named in a hello; with more none is named, which means that it may hold any. */
  private static final int MAX_NAMED_ENDPOINTS = 4096;

  private final ProxySettings settings;

  /**
   * Who the proxy is.
   *
   * @param processId drawn at its start
   * @param connectionCount counts its connections
   * @param withoutTables whether it holds its bootstrap routes at most
   */
  record Hello(
      String processId,
      long connectionCount,
      boolean withoutTables,
      Collection<String> namedEndpoints) {}

  InstanceMessages(ProxySettings settings) {
    this.settings = settings;
  }

  ChpMessage.KvSet hello(Hello hello) {
    ObjectNode value = JSON.createObjectNode();
    value
        .put("life", hello.processId())
        .put("stream", hello.connectionCount())
        .put("zone", settings.zone())
        .put("ops", settings.usualRequestsPerSecond())
        .put("fresh", hello.withoutTables());
    if (hello.namedEndpoints().size() <= MAX_NAMED_ENDPOINTS) {
      ArrayNode named = value.putArray("holds");
      hello.namedEndpoints().forEach(named::add);
    }
    String timeToLive = String.valueOf(settings.instanceLink().sessionSeconds());
    return set("/presence/" + settings.name(), Map.of("ttl", timeToLive), value);
  }

  /**
   * An update was applied.
   *
   * @param duration from its arrival, DeciMillis
   */
  ChpMessage.KvSet acknowledgement(TableSubscriber.Step.Update update, long duration) {
    ObjectNode value = JSON.createObjectNode();
    value
        .put("origin", update.stream())
        .put("mark", update.ackId())
        .put("took", DeciMillis.toSeconds(duration));
    return set("/up/" + settings.name() + "/answer", Map.of(), value);
  }

  ChpMessage.KvSet report(RequestStatistics statistics, long now) {
    ObjectNode value = JSON.createObjectNode();
    value.put("span", DeciMillis.toSeconds(statistics.interval(now)));
    ArrayNode endpoints = value.putArray("tasks");
    for (RequestStatistics.EndpointObservation observation : statistics.observations()) {
      writeObservation(endpoints.addArray(), observation);
    }
    ArrayNode requests = value.putArray("ops");
    for (int k = 0; k < settings.router().requestClasses().size(); k++) {
      RequestClassId requestClass = new RequestClassId(k);
      requests
          .addArray()
          .add(settings.router().requestClasses().get(k).name())
          .add(statistics.requests(requestClass))
          .add(statistics.unanswered(requestClass));
    }
    return set("/up/" + settings.name() + "/report", Map.of(), value);
  }

  private static void writeObservation(
      ArrayNode row, RequestStatistics.EndpointObservation observation) {
    long successes = observation.attempts() - observation.failures();
    double meanSeconds =
        successes == 0 ? 0 : DeciMillis.toSeconds(observation.successTime()) / successes;
    row.add(observation.endpoint())
        .add(observation.attempts())
        .add(observation.failures())
        .add(meanSeconds);
    if (observation.load() != null) {
      writeLoad(row.addObject(), observation.load());
    }
  }

  private static void writeLoad(ObjectNode node, LoadReport load) {
    putIfKnown(node, "busy", load.utilization());
    putIfKnown(node, "waiting", load.queueLength());
    putIfKnown(node, "in_hand", load.inFlight());
    putIfKnown(node, "work_ms", load.serviceTimeMillis());
    putIfKnown(node, "ops_per_s", load.requestsPerSecond());
  }

  private static void putIfKnown(ObjectNode node, String name, double figure) {
    if (!Double.isNaN(figure)) {
      node.put(name, figure);
    }
  }

  private static ChpMessage.KvSet set(
      String key, Map<String, String> properties, ObjectNode value) {
    try {
      return new ChpMessage.KvSet(
          key, ChpMessage.EMPTY_FRAME, properties, JSON.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of JSON can't be written", e);
    }
  }
}
