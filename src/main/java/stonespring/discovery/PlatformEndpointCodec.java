package stonespring.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ZoneId;

/**
 * The platform's list of tasks: an object that holds a version, whether it is the whole list, and
 * entries. An entry with a bad field is left out, and the one held of that task stays; what can't
 * be read as an object at all is refused.
 */
public final class PlatformEndpointCodec {
  /** One object of the list. */
  record Told(boolean whole, List<EndpointRecord> entries, long version) {
    Event.EndpointListUpdate event() {
      return new Event.EndpointListUpdate(
          whole ? Event.ListUpdateKind.SNAPSHOT : Event.ListUpdateKind.DELTA, entries);
    }
  }

  private static final double WEIGHT_MOST =
      1e6; // a unitless number; more is a fault of whoever wrote it
  private static final long UNIX_MOST = 1L << 53; // ms; exact in any JSON reader

  private final List<String> zones;
  private final long unixOffset;
  private final Map<EndpointId, EndpointRecord> held = new HashMap<>();
  private long version;
  private long history;
  private long leftOut;

  /**
   * @param zones the settings' zones
   * @param unixOffset what is taken off a time of the wall clock, in tenths of a millisecond, for
   *     the instance's clock
   */
  public PlatformEndpointCodec(List<String> zones, long unixOffset) {
    this.zones = zones;
    this.unixOffset = unixOffset;
  }

  /** Reads one object of nobody's telling, as the configuration has it. */
  Told read(JsonNode node) throws EndpointListCodec.BadList {
    return read(node, version, true);
  }

  /**
   * Reads one object and holds what it says; one that can't be used changes nothing held. Two who
   * tell overtake each other: an answer under way while the watch told more, or an old address that
   * goes on while the new one is asked. What is older than the list held, but no older than what
   * was asked from, is old news: changes say nothing, and a whole list that was asked for once is
   * answered by what is held. A watch's whole list always holds, since what it tells next follows
   * on that. What is older than what was asked from is of another history.
   *
   * @param since the version that whoever tells this was asked from, or told last
   * @param watch whether more follows on this
   */
  Told read(JsonNode node, long since, boolean watch) throws EndpointListCodec.BadList {
    if (node == null || !node.isObject()) {
      throw new EndpointListCodec.BadList("it is no object");
    }
    JsonNode version = node.path("seq");
    JsonNode whole = node.path("whole");
    JsonNode hosts = node.path("hosts");
    if (!version.isIntegralNumber() || version.asLong() < 0) {
      throw new EndpointListCodec.BadList("field 'seq' is no version");
    }
    if (!whole.isBoolean()) {
      throw new EndpointListCodec.BadList("field 'whole' is neither true nor false");
    }
    if (!hosts.isArray() || hosts.size() > EndpointListCodec.ENTRIES_MOST) {
      throw new EndpointListCodec.BadList(
          "field 'hosts' is no list of at most " + EndpointListCodec.ENTRIES_MOST + " entries");
    }
    if (version.asLong() < since) {
      history++;
      if (!whole.asBoolean()) {
        this.version = 0; // only the whole list of another history tells what was missed
        throw new EndpointListCodec.BadList("its version goes back to " + version.asLong());
      }
    } else if (version.asLong() < this.version && !(watch && whole.asBoolean())) {
      return new Told(whole.asBoolean(), whole.asBoolean() ? list() : List.of(), version.asLong());
    }
    this.version = version.asLong();
    Map<EndpointId, EndpointRecord> before = whole.asBoolean() ? new HashMap<>(held) : held;
    List<EndpointRecord> read = new ArrayList<>();
    for (JsonNode host : hosts) {
      EndpointRecord listing = listing(host);
      if (listing == null) {
        leftOut++;
        listing = before.get(new EndpointId(host.path("host").asText()));
      }
      if (listing != null) {
        read.add(listing);
      }
    }
    if (whole.asBoolean()) {
      held.clear();
    }
    for (EndpointRecord listing : read) {
      if (listing.state() == EndpointRecord.State.REMOVED) {
        held.remove(listing.endpoint());
      } else {
        held.put(listing.endpoint(), listing);
      }
    }
    return new Told(whole.asBoolean(), read, this.version);
  }

  /** The version of what is held; 0 where only a whole list will do. */
  long version() {
    return version;
  }

  /**
   * Changes whenever versions start over: what was asked before can't be compared with what is held
   * now.
   */
  long history() {
    return history;
  }

  /** What is held now. */
  List<EndpointRecord> list() {
    return List.copyOf(held.values());
  }

  /** How many entries were left out for a bad field, ever. */
  public long leftOut() {
    return leftOut;
  }

  private EndpointRecord listing(JsonNode host) {
    String name = host.path("host").isTextual() ? host.path("host").asText() : "";
    EndpointRecord.State state =
        switch (host.path("health").asText()) {
          case "Ready" -> EndpointRecord.State.READY;
          case "Terminating" -> EndpointRecord.State.DRAINING;
          case "Gone" -> EndpointRecord.State.REMOVED;
          default -> null;
        };
    int zone = zones.indexOf(host.path("site").asText());
    JsonNode weight = host.path("share");
    JsonNode born = host.path("born_ms");
    boolean bornWell =
        born.isMissingNode()
            || born.isNull()
            || born.isNumber() && born.asDouble() >= 0 && born.asDouble() < UNIX_MOST;
    boolean weighsWell =
        weight.isMissingNode()
            || weight.isNull()
            || weight.isNumber() && weight.asDouble() >= 0 && weight.asDouble() < WEIGHT_MOST;
    // Names go into orders as they are: what would break a line of the protocol is no name.
    if (!name.matches("[!-+\\--9;-~]{1,200}") || state == null || !bornWell || !weighsWell) {
      return null;
    }
    if (zone < 0) {
      // What is gone may come without the rest.
      EndpointRecord last = held.get(new EndpointId(name));
      if (state != EndpointRecord.State.REMOVED || last == null) {
        return null;
      }
      zone = last.zone().index();
    }
    return new EndpointRecord(
        new EndpointId(name),
        new ZoneId(zone),
        weight.asDouble(1),
        state,
        EndpointListCodec.startedAt((long) born.asDouble(0), unixOffset));
  }
}
