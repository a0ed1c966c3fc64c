package stonespring.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;

/**
 * Reads responses of Consul's health endpoint ({@code /v1/health/service/NAME}) in the documented
 * format. An entry with a maintenance check is listed as draining. An entry without one is left out
 * if any of its checks is critical. Immutable.
 */
final class RegistryEndpointCodec {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String SERVICE_MAINTENANCE_PREFIX = "_service_maintenance";
  private static final String NODE_MAINTENANCE = "_node_maintenance";

  private final EndpointFields fields;

  RegistryEndpointCodec(EndpointFields fields) {
    this.fields = fields;
  }

  /** The combined result of all health checks of one entry. */
  private record Health(boolean maintenance, boolean critical, boolean warning) {
    static Health of(JsonNode checks) {
      boolean maintenance = false;
      boolean critical = false;
      boolean warning = false;
      for (JsonNode check : checks) {
        String id = check.path("CheckID").asText();
        String status = check.path("Status").asText();
        maintenance |= id.startsWith(SERVICE_MAINTENANCE_PREFIX) || id.equals(NODE_MAINTENANCE);
        critical |= status.equals("critical");
        warning |= status.equals("warning");
      }
      return new Health(maintenance, critical, warning);
    }

    boolean isListed() {
      return maintenance || !critical;
    }
  }

  /** Reads a complete list; the endpoints are in the registry's order. */
  List<EndpointRecord> read(byte[] body) throws InvalidEndpointListException {
    JsonNode entries = parse(body);
    if (entries == null || !entries.isArray() || entries.size() > EndpointListCodec.MAX_ENDPOINTS) {
      throw new InvalidEndpointListException(
          "expected a JSON array of at most " + EndpointListCodec.MAX_ENDPOINTS + " entries");
    }
    List<EndpointRecord> endpoints = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      readEntry("entry " + i, entries.get(i)).ifPresent(endpoints::add);
    }
    return endpoints;
  }

  private static JsonNode parse(byte[] body) throws InvalidEndpointListException {
    try {
      return JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw new InvalidEndpointListException(
          "malformed JSON in the response: " + EndpointListCodec.firstLine(e));
    } catch (IOException e) {
      throw new InvalidEndpointListException("the response can't be read: " + e.getMessage());
    }
  }

  private Optional<EndpointRecord> readEntry(String location, JsonNode entry)
      throws InvalidEndpointListException {
    Health health = Health.of(entry.path("Checks"));
    if (!health.isListed()) {
      return Optional.empty();
    }
    JsonNode service = entry.path("Service");
    JsonNode meta = service.path("Meta");
    EndpointId id =
        EndpointFields.createEndpointId(
            location, service.path("ID").asText(), readAddress(entry, service));
    return Optional.of(
        new EndpointRecord(
            id,
            fields.parseZone(location, meta.path("zone").asText()),
            readWeight(service.path("Weights"), health),
            health.maintenance() ? EndpointRecord.State.DRAINING : EndpointRecord.State.READY,
            fields.toInstanceClock(meta.path("started_ms").asLong(0))));
  }

  /**
   * Returns {@code HOST:PORT} of the service. The host is the address of its node if the service
   * has none of its own.
   */
  private static String readAddress(JsonNode entry, JsonNode service) {
    String host = service.path("Address").asText("");
    if (host.isEmpty()) {
      host = entry.path("Node").path("Address").asText();
    }
    return host + ":" + service.path("Port").asInt();
  }

  /**
   * Returns the weight that applies to the entry's health; 1 if that weight is missing or not above
   * 0.
   */
  private static double readWeight(JsonNode weights, Health health) {
    double weight = weights.path(health.warning() ? "Warning" : "Passing").asDouble(1);
    return weight > 0 ? weight : 1;
  }
}
