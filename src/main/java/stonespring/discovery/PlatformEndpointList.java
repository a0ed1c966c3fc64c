package stonespring.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * The platform's endpoint list as it is held, and the rules by which messages of several responses
 * change it. Responses overtake each other: a fetch under way while the watch brings news, or an
 * old address that goes on while a new one is asked. Not thread-safe.
 */
final class PlatformEndpointList {
  private final PlatformEndpointCodec codec;
  private final Map<EndpointId, EndpointRecord> held = new HashMap<>();
  private long version;
  private long epoch;
  private long invalidEntries;

  PlatformEndpointList(PlatformEndpointCodec codec) {
    this.codec = codec;
  }

  /** Whether more messages follow on the one at hand, in the same response. */
  enum Origin {
    /** A message of a watch; the next one builds on it. */
    WATCH,
    /** The only message of a response. */
    FETCH
  }

  /** Applies the list that the configuration came with. */
  List<EndpointRecord> applyKnown(JsonNode message) throws InvalidEndpointListException {
    return apply(codec.read(message, held), version, Origin.WATCH).endpoints();
  }

  /** Reads a message; changes nothing. */
  PlatformListMessage read(byte[] message) throws InvalidEndpointListException {
    return codec.read(message, held);
  }

  /**
   * Applies a message. One that is older than the held list, but not than the version that its
   * response follows on, is outdated and changes nothing: a delta is answered by an empty one, a
   * fetched snapshot by the held list. A watch's snapshot always applies, as its next message
   * builds on it. A message older than the version that its response follows on belongs to another
   * epoch, in which versions started over: only a snapshot can be used then.
   *
   * @param after the version that the response was requested after, or that its last message had
   * @return what changed
   */
  Event.EndpointListUpdate apply(PlatformListMessage message, long after, Origin origin)
      throws InvalidEndpointListException {
    boolean snapshot = message.snapshot();
    if (message.version() < after) {
      epoch++;
      if (!snapshot) {
        version = 0;
        throw new InvalidEndpointListException(
            "the version went back to " + message.version() + " in a delta");
      }
    } else if (message.version() < version && !(origin == Origin.WATCH && snapshot)) {
      return update(snapshot, snapshot ? endpoints() : List.of());
    }
    version = message.version();
    invalidEntries += message.invalidEntries();
    if (snapshot) {
      held.clear();
    }
    for (EndpointRecord endpoint : message.endpoints()) {
      if (endpoint.state() == EndpointRecord.State.REMOVED) {
        held.remove(endpoint.endpoint());
      } else {
        held.put(endpoint.endpoint(), endpoint);
      }
    }
    return update(snapshot, message.endpoints());
  }

  private static Event.EndpointListUpdate update(boolean snapshot, List<EndpointRecord> endpoints) {
    return new Event.EndpointListUpdate(
        snapshot ? Event.ListUpdateKind.SNAPSHOT : Event.ListUpdateKind.DELTA, endpoints);
  }

  /** The version of the held list; 0 if only a snapshot can follow. */
  long version() {
    return version;
  }

  /** Changes whenever versions start over: versions of different epochs can't be compared. */
  long epoch() {
    return epoch;
  }

  /** The endpoints held now, in no particular order. */
  List<EndpointRecord> endpoints() {
    return List.copyOf(held.values());
  }

  /** How many invalid entries were left out so far. */
  long invalidEntries() {
    return invalidEntries;
  }
}
