package stonespring.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;

/**
 * Reads and writes the endpoint list as a JSON array of objects with the fields {@code id}, {@code
 * address}, {@code zone}, {@code weight}, {@code state} and {@code started_ms}. This is the format
 * of list files and of the cached list. An {@link EndpointId} contains the address, {@code
 * NAME@HOST:PORT}, so that proxies reach an endpoint without a further look-up. An endpoint whose
 * address changes counts as a different endpoint. Immutable.
 */
public final class EndpointListCodec {
  /**
   * The maximum number of endpoints in a list of any format. A longer list indicates an error in
   * its source.
   */
  static final int MAX_ENDPOINTS = 50_000;

  /**
   * Upper bound of a weight, exclusive; no unit. A greater weight indicates an error in the source
   * of the list.
   */
  private static final double MAX_WEIGHT = 1e6;

  private static final char ADDRESS_SEPARATOR = '@';
  private static final ObjectMapper JSON = new ObjectMapper();

  private final EndpointFields fields;

  /**
   * Creates a codec with the zones and the clock of one instance.
   *
   * @param zoneNames the names of the configured zones
   * @param unixOffsetDeciMillis Unix time minus the instance's clock, in {@link
   *     stonespring.model.DeciMillis}
   */
  public EndpointListCodec(List<String> zoneNames, long unixOffsetDeciMillis) {
    this.fields = new EndpointFields(zoneNames, unixOffsetDeciMillis);
  }

  EndpointFields fields() {
    return fields;
  }

  /**
   * Reads a complete list.
   *
   * @return the endpoints, sorted by id
   * @throws InvalidEndpointListException if any part of the list is invalid
   */
  public List<EndpointRecord> read(byte[] bytes) throws InvalidEndpointListException {
    JsonNode list = parse(bytes);
    if (list == null || !list.isArray() || list.size() > MAX_ENDPOINTS) {
      throw new InvalidEndpointListException(
          "expected a JSON array of at most " + MAX_ENDPOINTS + " endpoints");
    }
    TreeMap<String, EndpointRecord> endpointsById = new TreeMap<>();
    for (int i = 0; i < list.size(); i++) {
      String location = "entry " + i;
      EndpointRecord endpoint = readEndpoint(location, list.get(i));
      String id = endpoint.endpoint().name();
      if (endpointsById.put(id, endpoint) != null) {
        throw new InvalidEndpointListException(location, "duplicate endpoint id " + id);
      }
    }
    return new ArrayList<>(endpointsById.values());
  }

  private static JsonNode parse(byte[] bytes) throws InvalidEndpointListException {
    try {
      return JSON.readTree(bytes);
    } catch (JsonProcessingException e) {
      throw new InvalidEndpointListException(
          "line " + e.getLocation().getLineNr(), "malformed JSON: " + firstLine(e));
    } catch (IOException e) {
      throw new InvalidEndpointListException("the list can't be read: " + e.getMessage());
    }
  }

  /** Returns the first line of a parser's message; later lines quote the parsed text. */
  static String firstLine(JsonProcessingException e) {
    return e.getOriginalMessage().split("\n")[0];
  }

  private EndpointRecord readEndpoint(String location, JsonNode node)
      throws InvalidEndpointListException {
    if (!node.isObject()) {
      throw new InvalidEndpointListException(
          location, "expected a JSON object, found " + node.getNodeType());
    }
    EndpointId id =
        EndpointFields.createEndpointId(
            location, node.path("id").asText(), node.path("address").asText());
    EndpointRecord.State state = readState(location, node.path("state"));
    double weight = readWeight(location, node.path("weight"));
    return new EndpointRecord(
        id,
        fields.parseZone(location, node.path("zone").asText()),
        weight,
        state,
        fields.toInstanceClock(node.path("started_ms").asLong(0)));
  }

  private static EndpointRecord.State readState(String location, JsonNode node)
      throws InvalidEndpointListException {
    return switch (node.asText("ready")) {
      case "ready" -> EndpointRecord.State.READY;
      case "draining" -> EndpointRecord.State.DRAINING;
      default ->
          throw new InvalidEndpointListException(
              location, "state", "must be 'ready' or 'draining', found " + node);
    };
  }

  private static double readWeight(String location, JsonNode node)
      throws InvalidEndpointListException {
    if (!node.isMissingNode()
        && !(node.isNumber() && node.asDouble() > 0 && node.asDouble() < MAX_WEIGHT)) {
      throw new InvalidEndpointListException(
          location,
          "weight",
          "must be a number above 0 and below " + MAX_WEIGHT + ", found " + node);
    }
    return node.asDouble(1);
  }

  /**
   * Writes a complete list in the format that {@link #read} reads. Each id has the form {@code
   * NAME@HOST:PORT}.
   */
  public byte[] write(List<EndpointRecord> endpoints) {
    ArrayNode list = JSON.createArrayNode();
    for (EndpointRecord endpoint : endpoints) {
      writeEndpoint(list.addObject(), endpoint);
    }
    return list.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void writeEndpoint(ObjectNode node, EndpointRecord endpoint) {
    String id = endpoint.endpoint().name();
    int separator = id.lastIndexOf(ADDRESS_SEPARATOR);
    node.put("id", id.substring(0, separator));
    node.put("address", id.substring(separator + 1));
    node.put("zone", fields.zoneNames().get(endpoint.zone().index()));
    node.put("weight", endpoint.weight());
    node.put("state", endpoint.state() == EndpointRecord.State.DRAINING ? "draining" : "ready");
    if (endpoint.startedAt() > 0) {
      node.put("started_ms", fields.toUnixMillis(endpoint.startedAt()));
    }
  }
}
