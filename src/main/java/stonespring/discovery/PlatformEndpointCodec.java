package stonespring.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.ZoneId;

/**
 * Reads messages of the platform's endpoint list. A message is a JSON object with the list's
 * version ({@code seq}), a flag that tells a snapshot from a delta ({@code whole}), and entries
 * ({@code hosts}). The platform's field names are used in this class only. Immutable.
 */
public final class PlatformEndpointCodec {
  private static final int MAX_NESTING_DEPTH = 16;
  private static final int MAX_STRING_CHARS = 4096;
  private static final ObjectMapper JSON =
      new ObjectMapper(
          JsonFactory.builder()
              .streamReadConstraints(
                  StreamReadConstraints.builder()
                      .maxNestingDepth(MAX_NESTING_DEPTH)
                      .maxStringLength(MAX_STRING_CHARS)
                      .build())
              .build());

  /**
   * Upper bound of a weight, exclusive; no unit. A greater weight indicates an error in the source
   * of the list.
   */
  private static final double MAX_WEIGHT = 1e6;

  /**
   * Upper bound of a start time, exclusive. All JSON parsers represent smaller integers exactly.
   */
  private static final long MAX_UNIX_MILLIS = 1L << 53;

  /**
   * Printable ASCII except space, comma and colon. Endpoint ids are written to the proxies' line
   * protocol without escaping.
   */
  private static final String ENDPOINT_ID_PATTERN = "[!-+\\--9;-~]{1,200}";

  private final EndpointFields fields;

  /**
   * Creates a codec with the zones and the clock of one instance.
   *
   * @param zoneNames the names of the configured zones
   * @param unixOffsetDeciMillis Unix time minus the instance's clock, in {@link
   *     stonespring.model.DeciMillis}
   */
  public PlatformEndpointCodec(List<String> zoneNames, long unixOffsetDeciMillis) {
    this.fields = new EndpointFields(zoneNames, unixOffsetDeciMillis);
  }

  /** Parses one message and reads it as {@link #read(JsonNode, Map)} does. */
  PlatformListMessage read(byte[] bytes, Map<EndpointId, EndpointRecord> heldEndpoints)
      throws InvalidEndpointListException {
    JsonNode message;
    try {
      message = JSON.readTree(bytes);
    } catch (IOException e) {
      throw new InvalidEndpointListException("malformed JSON in a list message");
    }
    return read(message, heldEndpoints);
  }

  /**
   * Reads one message. An invalid entry does not make the message invalid: it is replaced by the
   * record held for the same endpoint, or skipped if there is none.
   *
   * @param message the parsed message; null is invalid
   * @param heldEndpoints the endpoints held before this message, by id
   * @throws InvalidEndpointListException if the message has no valid version, snapshot flag or list
   *     of entries
   */
  PlatformListMessage read(JsonNode message, Map<EndpointId, EndpointRecord> heldEndpoints)
      throws InvalidEndpointListException {
    if (message == null || !message.isObject()) {
      throw new InvalidEndpointListException("a list message must be a JSON object");
    }
    JsonNode version = message.path("seq");
    if (!version.isIntegralNumber() || version.asLong() < 0) {
      throw InvalidEndpointListException.ofField("seq", "must be an integer of 0 or more");
    }
    JsonNode snapshot = message.path("whole");
    if (!snapshot.isBoolean()) {
      throw InvalidEndpointListException.ofField(
          "whole", "must be true or false, found " + snapshot.getNodeType());
    }
    JsonNode entries = message.path("hosts");
    if (!entries.isArray() || entries.size() > EndpointListCodec.MAX_ENDPOINTS) {
      throw InvalidEndpointListException.ofField(
          "hosts",
          "must be an array of at most "
              + EndpointListCodec.MAX_ENDPOINTS
              + " entries, found "
              + entries.getNodeType()
              + " of size "
              + entries.size());
    }
    return readEntries(version.asLong(), snapshot.asBoolean(), entries, heldEndpoints);
  }

  private PlatformListMessage readEntries(
      long version,
      boolean snapshot,
      JsonNode entries,
      Map<EndpointId, EndpointRecord> heldEndpoints) {
    List<EndpointRecord> endpoints = new ArrayList<>();
    int invalidEntryCount = 0;
    for (JsonNode entry : entries) {
      EndpointRecord heldRecord = heldEndpoints.get(new EndpointId(entry.path("host").asText()));
      Optional<EndpointRecord> endpoint = readEntry(entry, heldRecord);
      if (endpoint.isPresent()) {
        endpoints.add(endpoint.get());
      } else {
        invalidEntryCount++;
        if (heldRecord != null) {
          endpoints.add(heldRecord);
        }
      }
    }
    return new PlatformListMessage(version, snapshot, endpoints, invalidEntryCount);
  }

  /**
   * Reads one entry; returns empty if it is invalid.
   *
   * @param heldRecord the record held for the same endpoint; null if there is none
   */
  private Optional<EndpointRecord> readEntry(JsonNode entry, EndpointRecord heldRecord) {
    JsonNode id = entry.path("host");
    JsonNode weight = entry.path("share");
    JsonNode startedUnixMillis = entry.path("born_ms");
    Optional<EndpointRecord.State> state = readState(entry.path("health"));
    Optional<ZoneId> zone = readZone(entry.path("site"), state, heldRecord);
    if (!id.isTextual()
        || !id.asText().matches(ENDPOINT_ID_PATTERN)
        || state.isEmpty()
        || zone.isEmpty()
        || !isAbsentOrInRange(weight, MAX_WEIGHT)
        || !isAbsentOrInRange(startedUnixMillis, MAX_UNIX_MILLIS)) {
      return Optional.empty();
    }
    return Optional.of(
        new EndpointRecord(
            new EndpointId(id.asText()),
            zone.get(),
            weight.asDouble(1),
            state.get(),
            fields.toInstanceClock((long) startedUnixMillis.asDouble(0))));
  }

  private static Optional<EndpointRecord.State> readState(JsonNode health) {
    return switch (health.asText()) {
      case "Ready" -> Optional.of(EndpointRecord.State.READY);
      case "Terminating" -> Optional.of(EndpointRecord.State.DRAINING);
      case "Gone" -> Optional.of(EndpointRecord.State.REMOVED);
      default -> Optional.empty();
    };
  }

  /**
   * Reads the zone; returns empty if it is invalid. The entry of a removed endpoint may omit the
   * zone; the zone of the held record is then used.
   */
  private Optional<ZoneId> readZone(
      JsonNode site, Optional<EndpointRecord.State> state, EndpointRecord heldRecord) {
    int index = fields.zoneNames().indexOf(site.asText());
    if (index >= 0) {
      return Optional.of(new ZoneId(index));
    }
    boolean removed = state.isPresent() && state.get() == EndpointRecord.State.REMOVED;
    return removed && heldRecord != null ? Optional.of(heldRecord.zone()) : Optional.empty();
  }

  /** Whether a node is missing, null, or a number from 0 to below the limit. */
  private static boolean isAbsentOrInRange(JsonNode node, double exclusiveLimit) {
    return node.isMissingNode()
        || node.isNull()
        || node.isNumber() && node.asDouble() >= 0 && node.asDouble() < exclusiveLimit;
  }
}
