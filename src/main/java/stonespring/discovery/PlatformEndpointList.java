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
  private final Map<EndpointId, EndpointRecord> endpointsById = new HashMap<>();
  private long version;
  private long epoch;
  private long invalidEntryCount;

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
  List<EndpointRecord> applyCached(JsonNode message) throws InvalidEndpointListException {
    return apply(codec.read(message, endpointsById), version, Origin.WATCH).endpoints();
  }

  /** Reads a message; changes nothing. */
  PlatformListMessage read(byte[] message) throws InvalidEndpointListException {
    return codec.read(message, endpointsById);
  }

  /**
   * Applies a message. What it does depends on its version:
   *
   * <ul>
   *   <li>at or above the held one: it applies;
   *   <li>below the held one, but not below {@code baseVersion}: it is outdated. A delta gives an
   *       empty update, a fetched snapshot the held list; a watch's snapshot applies, as its next
   *       message builds on it;
   *   <li>below {@code baseVersion}: versions started over, which is another epoch. A snapshot
   *       applies; a delta can't be used.
   * </ul>
   *
   * @param baseVersion the version that the response was requested after, or that its last message
   *     had
   * @return what changed
   * @throws InvalidEndpointListException for a delta of another epoch; the epoch has changed then,
   *     and the version is 0, so that the next request asks for everything
   */
  Event.EndpointListUpdate apply(PlatformListMessage message, long baseVersion, Origin origin)
      throws InvalidEndpointListException {
    boolean snapshot = message.snapshot();
    if (message.version() < baseVersion) {
      epoch++;
      if (!snapshot) {
        version = 0;
        throw new InvalidEndpointListException(
            "the version went back to " + message.version() + " in a delta");
      }
    } else if (message.version() < version && !(origin == Origin.WATCH && snapshot)) {
      return createUpdate(snapshot, snapshot ? endpoints() : List.of());
    }
    version = message.version();
    invalidEntryCount += message.invalidEntryCount();
    if (snapshot) {
      endpointsById.clear();
    }
    for (EndpointRecord endpoint : message.endpoints()) {
      if (endpoint.state() == EndpointRecord.State.REMOVED) {
        endpointsById.remove(endpoint.endpoint());
      } else {
        endpointsById.put(endpoint.endpoint(), endpoint);
      }
    }
    return createUpdate(snapshot, message.endpoints());
  }

  private static Event.EndpointListUpdate createUpdate(
      boolean snapshot, List<EndpointRecord> endpoints) {
    return new Event.EndpointListUpdate(
        snapshot ? Event.ListUpdateKind.SNAPSHOT : Event.ListUpdateKind.DELTA, endpoints);
  }

  /** The version of the held list; 0 asks for the whole list. */
  long version() {
    return version;
  }

  /** Changes whenever versions start over: versions of different epochs can't be compared. */
  long epoch() {
    return epoch;
  }

  /** The endpoints held now, in no particular order. */
  List<EndpointRecord> endpoints() {
    return List.copyOf(endpointsById.values());
  }

  /** How many invalid entries were not used so far; the held record, if any, stood in. */
  long invalidEntryCount() {
    return invalidEntryCount;
  }
}
