package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import stonespring.config.PlatformSettings;
import stonespring.model.AckId;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.PeerId;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RouteTableId;
import stonespring.model.TimerToken;
import stonespring.model.ZoneId;
import stonespring.simulator.WireNames.EndpointState;
import stonespring.simulator.WireNames.Field;
import stonespring.simulator.WireNames.LoadField;
import stonespring.simulator.WireNames.Message;
import stonespring.simulator.WireNames.UpdateKind;

/**
 * Decodes the messages to an instance into events. Names of zones and request classes are resolved
 * to their positions in the settings of the instance.
 */
final class EventReader {
  /** The HTTP status code of a successful health check. */
  private static final int STATUS_OK = 200;

  /** Weight of an endpoint whose list entry has no numeric weight. */
  private static final double DEFAULT_WEIGHT = 1;

  private final PlatformSettings settings;

  EventReader(PlatformSettings settings) {
    this.settings = settings;
  }

  /**
   * Decodes a message.
   *
   * @param lists the endpoint lists received before this message
   * @throws SimulatorProtocolException if the message is unknown or one of its fields is invalid
   */
  Event read(SimulatorMessage message, EndpointLists lists) {
    return switch (message.name()) {
      case Message.ENDPOINT_LIST_UPDATE -> readListUpdate(message, lists);
      case Message.PEER_MESSAGE -> readPeerMessage(message);
      case Message.PROXY_REQUEST_RATE -> readProxyRequestRate(message);
      case Message.SHARD_REQUEST_RATE -> readShardRequestRate(message);
      case Message.SHARD_ROUTE -> readShardRoute(message);
      case Message.SHARD_OWNERSHIP ->
          new Event.ShardOwnership(readRouteTable(message), message.bool(1, Field.OWNED));
      case Message.TIMER_FIRED ->
          new Event.TimerFired(new TimerToken(message.nonNegativeInteger(0, Field.TIMER_TOKEN)));
      case Message.UPDATE_ACKNOWLEDGED -> readAcknowledgement(message);
      case Message.HEALTH_CHECK_RESULT -> readHealthCheckResult(message);
      case Message.PROXY_DISCONNECTED -> new Event.ProxyDisconnected(readProxy(message));
      case Message.PROXY_CONNECTED -> readProxyConnected(message);
      case Message.ENDPOINT_OUTCOMES -> readOutcomes(message);
      default ->
          throw new SimulatorProtocolException(
              "message name: expected a name of the protocol, found '" + message.name() + "'");
    };
  }

  private Event readListUpdate(SimulatorMessage message, EndpointLists lists) {
    Event.ListUpdateKind kind = readUpdateKind(message);
    List<EndpointRecord> endpoints = new ArrayList<>();
    if (kind != Event.ListUpdateKind.FETCH_FAILED) {
      for (JsonNode entry : lists.get(message)) {
        endpoints.add(readEndpoint(SimulatorMessage.ofListEntry(entry)));
      }
    }
    return new Event.EndpointListUpdate(kind, endpoints);
  }

  private static Event.ListUpdateKind readUpdateKind(SimulatorMessage message) {
    String value = message.text(1, Field.UPDATE_KIND);
    return switch (value) {
      case UpdateKind.DELTA -> Event.ListUpdateKind.DELTA;
      case UpdateKind.SNAPSHOT -> Event.ListUpdateKind.SNAPSHOT;
      case UpdateKind.CACHED -> Event.ListUpdateKind.CACHED;
      case UpdateKind.FETCH_FAILED -> Event.ListUpdateKind.FETCH_FAILED;
      default -> throw unknownValue(message, Field.UPDATE_KIND, value);
    };
  }

  private EndpointRecord readEndpoint(SimulatorMessage entry) {
    EndpointRecord.State state = readState(entry);
    JsonNode weight = entry.value(1, Field.WEIGHT);
    JsonNode startedAt = entry.value(4, Field.STARTED_AT_SECONDS);
    return new EndpointRecord(
        readEndpointId(entry, 6),
        readZone(entry, 0),
        weight.isNumber() ? weight.asDouble() : DEFAULT_WEIGHT,
        state,
        startedAt.isNull() ? 0 : entry.secondsAsDeciMillis(4, Field.STARTED_AT_SECONDS));
  }

  private static EndpointRecord.State readState(SimulatorMessage entry) {
    String value = entry.text(3, Field.STATE);
    return switch (value) {
      case EndpointState.READY -> EndpointRecord.State.READY;
      case EndpointState.DRAINING -> EndpointRecord.State.DRAINING;
      case EndpointState.REMOVED -> EndpointRecord.State.REMOVED;
      default -> throw unknownValue(entry, Field.STATE, value);
    };
  }

  private static Event readPeerMessage(SimulatorMessage message) {
    return new Event.PeerMessage(new PeerId(message.id(0, Field.PEER)), readBytes(message));
  }

  private static byte[] readBytes(SimulatorMessage message) {
    try {
      return HexFormat.of().parseHex(message.text(1, Field.BYTES));
    } catch (IllegalArgumentException e) {
      throw message.invalid(Field.BYTES, "expected pairs of hexadecimal digits, found other text");
    }
  }

  private Event readProxyRequestRate(SimulatorMessage message) {
    return new Event.ProxyRequestRate(
        readProxy(message),
        readRequestClass(message),
        message.nonNegativeInteger(2, Field.REQUESTS),
        message.nonNegativeInteger(3, Field.FAILURES),
        message.secondsAsDeciMillis(4, Field.INTERVAL_SECONDS));
  }

  private Event readShardRequestRate(SimulatorMessage message) {
    return new Event.ShardRequestRate(
        readRouteTable(message),
        readRequestClass(message),
        message.nonNegativeInteger(2, Field.REQUESTS),
        message.nonNegativeInteger(3, Field.FAILURES),
        message.secondsAsDeciMillis(4, Field.INTERVAL_SECONDS));
  }

  private static Event readShardRoute(SimulatorMessage message) {
    return new Event.ShardRoute(
        readRouteTable(message), readEndpointId(message, 1), message.number(2, Field.WEIGHT));
  }

  private static Event readAcknowledgement(SimulatorMessage message) {
    return new Event.UpdateAcknowledged(
        readProxy(message),
        new AckId(message.id(1, Field.ACK)),
        message.secondsAsDeciMillis(2, Field.DURATION_SECONDS));
  }

  private static Event readHealthCheckResult(SimulatorMessage message) {
    return new Event.HealthCheckResult(
        readEndpointId(message, 0),
        message.nonNegativeInteger(1, Field.STATUS) == STATUS_OK,
        message.secondsAsDeciMillis(2, Field.DURATION_SECONDS),
        readLoadReport(message, 3));
  }

  private Event readProxyConnected(SimulatorMessage message) {
    return new Event.ProxyConnected(
        readProxy(message),
        readZone(message, 1),
        message.number(2, Field.REQUESTS_PER_SECOND),
        message.bool(3, Field.WITHOUT_TABLES));
  }

  private Event readOutcomes(SimulatorMessage message) {
    return new Event.EndpointOutcomes(
        readEndpointId(message, 5),
        readZone(message, 3),
        message.nonNegativeInteger(1, Field.REQUESTS),
        message.nonNegativeInteger(0, Field.FAILURES),
        message.secondsAsDeciMillis(2, Field.INTERVAL_SECONDS),
        message.secondsAsDeciMillis(4, Field.DURATION_SECONDS),
        readLoadReport(message, 6));
  }

  private static LoadReport readLoadReport(SimulatorMessage message, int position) {
    JsonNode report = message.value(position, Field.LOAD_REPORT);
    if (!report.isObject()) {
      return LoadReport.NONE;
    }
    return new LoadReport(
        report.path(LoadField.UTILIZATION).asDouble(Double.NaN),
        report.path(LoadField.QUEUE_LENGTH).asDouble(Double.NaN),
        report.path(LoadField.IN_FLIGHT).asDouble(Double.NaN),
        report.path(LoadField.SERVICE_TIME_MILLIS).asDouble(Double.NaN),
        report.path(LoadField.REQUESTS_PER_SECOND).asDouble(Double.NaN));
  }

  private static ProxyId readProxy(SimulatorMessage message) {
    return new ProxyId(message.id(0, Field.PROXY));
  }

  private static RouteTableId readRouteTable(SimulatorMessage message) {
    return new RouteTableId(message.id(0, Field.ROUTE_TABLE));
  }

  private static EndpointId readEndpointId(SimulatorMessage message, int position) {
    return new EndpointId(message.text(position, Field.ENDPOINT));
  }

  private ZoneId readZone(SimulatorMessage message, int position) {
    String name = message.text(position, Field.ZONE);
    int index = settings.zones().indexOf(name);
    if (index < 0) {
      throw message.invalid(Field.ZONE, "expected a zone of the settings, found '" + name + "'");
    }
    return new ZoneId(index);
  }

  private RequestClassId readRequestClass(SimulatorMessage message) {
    String name = message.text(1, Field.REQUEST_CLASS);
    int index = settings.requestClassNames().indexOf(name);
    if (index < 0) {
      throw message.invalid(
          Field.REQUEST_CLASS, "expected a request class of the settings, found '" + name + "'");
    }
    return new RequestClassId(index);
  }

  private static SimulatorProtocolException unknownValue(
      SimulatorMessage message, String field, String value) {
    return message.invalid(field, "expected a value of the protocol, found '" + value + "'");
  }
}
