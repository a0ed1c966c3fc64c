package stonespring.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.ZoneId;

/**
 * The list of tasks as a JSON array, in a file or saved. A task's id holds its address, {@code
 * NAME@HOST:PORT}: a task at another address is another task, and no proxy needs a second look-up.
 */
public final class EndpointListCodec {
  /** A list that can't be read; the text names entry and field. */
  public static final class BadList extends Exception {
    private static final long serialVersionUID = 1;

    BadList(String message) {
      super(message, null, false, false);
    }
  }

  static final int ENTRIES_MOST = 50_000; // tasks of a list; more is a fault of whoever wrote it
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<String> zones;
  private final long unixOffset;

  /**
   * @param zones the settings' zones
   * @param unixOffset what is taken off a time of the wall clock, in tenths of a millisecond, for
   *     the instance's clock
   */
  public EndpointListCodec(List<String> zones, long unixOffset) {
    this.zones = zones;
    this.unixOffset = unixOffset;
  }

  /** The id of a task by its name and address; refuses what would not make a key's segment. */
  static EndpointId id(String where, String name, String address) throws BadList {
    if (!name.matches("[A-Za-z0-9._-]{1,100}")) {
      throw new BadList(
          where + ": field 'id' is not a name of 1 to 100 letters, digits, dots or dashes");
    }
    if (!address.matches("[A-Za-z0-9.-]{1,60}:[0-9]{1,5}")) {
      throw new BadList(where + ": field 'address' is not HOST:PORT");
    }
    return new EndpointId(name + "@" + address);
  }

  ZoneId zone(String where, String name) throws BadList {
    int at = zones.indexOf(name);
    if (at < 0) {
      throw new BadList(where + ": field 'zone' names no zone of the settings: " + name);
    }
    return new ZoneId(at);
  }

  long startedAt(long unixMillis) {
    return startedAt(unixMillis, unixOffset);
  }

  /** The instance's time for a wall clock's milliseconds; 0, long ago, where none is given. */
  static long startedAt(long unixMillis, long unixOffset) {
    return unixMillis <= 0 ? 0 : Math.max(1, unixMillis * 10 - unixOffset);
  }

  /** The whole list in a JSON array of objects: id, address, zone, weight, state, started_ms. */
  public List<EndpointRecord> read(byte[] bytes) throws BadList {
    JsonNode all;
    try {
      all = JSON.readTree(bytes);
    } catch (JsonProcessingException e) {
      throw new BadList(
          "line "
              + e.getLocation().getLineNr()
              + ": it is no well-formed JSON: "
              + e.getOriginalMessage().split("\n")[0]);
    } catch (java.io.IOException e) {
      throw new BadList("it can't be read: " + e.getMessage());
    }
    if (all == null || !all.isArray() || all.size() > ENTRIES_MOST) {
      throw new BadList("it is no JSON array of at most " + ENTRIES_MOST + " tasks");
    }
    TreeMap<String, EndpointRecord> listed = new TreeMap<>();
    for (int i = 0; i < all.size(); i++) {
      EndpointRecord listing = listing("entry " + i, all.get(i));
      if (listed.put(listing.endpoint().name(), listing) != null) {
        throw new BadList("entry " + i + ": " + listing.endpoint().name() + " comes twice");
      }
    }
    return new ArrayList<>(listed.values());
  }

  private EndpointRecord listing(String where, JsonNode node) throws BadList {
    if (!node.isObject()) {
      throw new BadList(where + ": it is no object");
    }
    EndpointId id = id(where, node.path("id").asText(), node.path("address").asText());
    EndpointRecord.State state =
        switch (node.path("state").asText("ready")) {
          case "ready" -> EndpointRecord.State.READY;
          case "draining" -> EndpointRecord.State.DRAINING;
          default -> throw new BadList(where + ": field 'state' is neither ready nor draining");
        };
    JsonNode weight = node.path("weight");
    if (!weight.isMissingNode()
        && !(weight.isNumber() && weight.asDouble() > 0 && weight.asDouble() < 1e6)) {
      throw new BadList(where + ": field 'weight' is no number above 0");
    }
    return new EndpointRecord(
        id,
        zone(where, node.path("zone").asText()),
        weight.asDouble(1),
        state,
        startedAt(node.path("started_ms").asLong(0)));
  }

  public byte[] write(List<EndpointRecord> list) {
    ArrayNode all = JSON.createArrayNode();
    for (EndpointRecord listing : list) {
      ObjectNode node = all.addObject();
      String name = listing.endpoint().name();
      int at = name.lastIndexOf('@');
      node.put("id", name.substring(0, at)).put("address", name.substring(at + 1));
      node.put("zone", zones.get(listing.zone().index())).put("weight", listing.weight());
      node.put("state", listing.state() == EndpointRecord.State.DRAINING ? "draining" : "ready");
      if (listing.startedAt() > 0) {
        node.put("started_ms", (listing.startedAt() + unixOffset) / 10);
      }
    }
    return all.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }
}
