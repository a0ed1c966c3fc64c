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

/**
 * Encodes the messages that a proxy sends to an instance, with the keys and JSON values that {@code
 * docs/channel.md} defines.
 */
final class InstanceMessages {
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Maximum number of endpoints listed in a hello. Above it the list is left out, which tells the
   * instance that the proxy may hold any endpoint.
   */
  private static final int MAX_NAMED_ENDPOINTS = 4096;

  private final ProxySettings settings;

  /**
   * The state that a proxy announces when it opens or renews its session.
   *
   * @param processId random id, generated when the proxy starts
   * @param connectionCount number of connections that the proxy has opened so far, this one
   *     included
   * @param withoutTables whether the proxy has applied no update yet and holds at most its
   *     bootstrap routes
   * @param namedEndpoints endpoints in the tables that the proxy holds
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
      ArrayNode endpointNames = value.putArray("holds");
      hello.namedEndpoints().forEach(endpointNames::add);
    }
    String ttlSeconds = String.valueOf(settings.instanceLink().sessionTtlSeconds());
    return keyValue("/presence/" + settings.name(), Map.of("ttl", ttlSeconds), value);
  }

  /**
   * Encodes the acknowledgement of an applied update.
   *
   * @param durationDeciMillis time from the update's arrival until it was applied
   */
  ChpMessage.KvSet acknowledgement(TableSubscriber.Result.Update update, long durationDeciMillis) {
    ObjectNode value = JSON.createObjectNode();
    value
        .put("origin", update.stream())
        .put("mark", update.ackId())
        .put("took", DeciMillis.toSeconds(durationDeciMillis));
    return keyValue("/up/" + settings.name() + "/answer", Map.of(), value);
  }

  ChpMessage.KvSet report(RequestStatistics statistics, long now) {
    ObjectNode value = JSON.createObjectNode();
    value.put("span", DeciMillis.toSeconds(statistics.intervalDeciMillis(now)));
    ArrayNode endpointRows = value.putArray("tasks");
    for (RequestStatistics.EndpointObservation observation : statistics.observations()) {
      writeObservation(endpointRows.addArray(), observation);
    }
    ArrayNode requestRows = value.putArray("ops");
    for (int k = 0; k < settings.router().requestClasses().size(); k++) {
      RequestClassId requestClass = new RequestClassId(k);
      requestRows
          .addArray()
          .add(settings.router().requestClasses().get(k).name())
          .add(statistics.requests(requestClass))
          .add(statistics.unansweredRequests(requestClass));
    }
    return keyValue("/up/" + settings.name() + "/report", Map.of(), value);
  }

  private static void writeObservation(
      ArrayNode row, RequestStatistics.EndpointObservation observation) {
    long successes = observation.attempts() - observation.failures();
    double meanSeconds =
        successes == 0 ? 0 : DeciMillis.toSeconds(observation.totalSuccessDeciMillis()) / successes;
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

  private static void putIfKnown(ObjectNode node, String name, double value) {
    if (!Double.isNaN(value)) {
      node.put(name, value);
    }
  }

  private static ChpMessage.KvSet keyValue(
      String key, Map<String, String> properties, ObjectNode value) {
    try {
      return new ChpMessage.KvSet(
          key, ChpMessage.EMPTY_FRAME, properties, JSON.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the JSON value of key " + key, e);
    }
  }
}
