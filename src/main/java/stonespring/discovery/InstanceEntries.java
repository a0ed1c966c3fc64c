package stonespring.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.model.TaskId;
import stonespring.model.ZoneId;

/**
 * The platform's list of tasks: an object that holds a version, whether it is the whole list, and
 * entries. An entry with a bad field is left out, and the one held of that task stays; what can't
 * be read as an object at all is refused.
 */
public final class InstanceEntries {
  /** One object of the list. */
  record Told(boolean whole, List<Listing> entries, long version) {
    Event.ListTold event() {
      return new Event.ListTold(whole ? Event.ListKind.WHOLE : Event.ListKind.CHANGES, entries);
    }
  }

  private static final double WEIGHT_MOST =
      1e6; // a unitless number; more is a fault of whoever wrote it
  private static final long UNIX_MOST = 1L << 53; // ms; exact in any JSON reader

  private final List<String> zones;
  private final long unixOffset;
  private final Map<TaskId, Listing> held = new HashMap<>();
  private long version;
  private long history;
  private long leftOut;

  /**
   * @param zones the settings' zones
   * @param unixOffset what is taken off a time of the wall clock, in tenths of a millisecond, for
   *     the instance's clock
   */
  public InstanceEntries(List<String> zones, long unixOffset) {
    this.zones = zones;
    this.unixOffset = unixOffset;
  }

  /** Reads one object of nobody's telling, as the configuration has it. */
  Told read(JsonNode node) throws Entries.BadList {
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
  Told read(JsonNode node, long since, boolean watch) throws Entries.BadList {
    if (node == null || !node.isObject()) {
      throw new Entries.BadList("it is no object");
    }
    JsonNode version = node.path("seq");
    JsonNode whole = node.path("whole");
    JsonNode hosts = node.path("hosts");
    if (!version.isIntegralNumber() || version.asLong() < 0) {
      throw new Entries.BadList("field 'seq' is no version");
    }
    if (!whole.isBoolean()) {
      throw new Entries.BadList("field 'whole' is neither true nor false");
    }
    if (!hosts.isArray() || hosts.size() > Entries.ENTRIES_MOST) {
      throw new Entries.BadList(
          "field 'hosts' is no list of at most " + Entries.ENTRIES_MOST + " entries");
    }
    if (version.asLong() < since) {
      history++;
      if (!whole.asBoolean()) {
        this.version = 0; // only the whole list of another history tells what was missed
        throw new Entries.BadList("its version goes back to " + version.asLong());
      }
    } else if (version.asLong() < this.version && !(watch && whole.asBoolean())) {
      return new Told(whole.asBoolean(), whole.asBoolean() ? list() : List.of(), version.asLong());
    }
    this.version = version.asLong();
    Map<TaskId, Listing> before = whole.asBoolean() ? new HashMap<>(held) : held;
    List<Listing> read = new ArrayList<>();
    for (JsonNode host : hosts) {
      Listing listing = listing(host);
      if (listing == null) {
        leftOut++;
        listing = before.get(new TaskId(host.path("host").asText()));
      }
      if (listing != null) {
        read.add(listing);
      }
    }
    if (whole.asBoolean()) {
      held.clear();
    }
    for (Listing listing : read) {
      if (listing.state() == Listing.State.GONE) {
        held.remove(listing.task());
      } else {
        held.put(listing.task(), listing);
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
  List<Listing> list() {
    return List.copyOf(held.values());
  }

  /** How many entries were left out for a bad field, ever. */
  public long leftOut() {
    return leftOut;
  }

  private Listing listing(JsonNode host) {
    String name = host.path("host").isTextual() ? host.path("host").asText() : "";
    Listing.State state =
        switch (host.path("health").asText()) {
          case "Ready" -> Listing.State.READY;
          case "Terminating" -> Listing.State.DRAINING;
          case "Gone" -> Listing.State.GONE;
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
      Listing last = held.get(new TaskId(name));
      if (state != Listing.State.GONE || last == null) {
        return null;
      }
      zone = last.zone().index();
    }
    return new Listing(
        new TaskId(name),
        new ZoneId(zone),
        weight.asDouble(1),
        state,
        Entries.startedAt((long) born.asDouble(0), unixOffset));
  }
}
