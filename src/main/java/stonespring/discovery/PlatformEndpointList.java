package stonespring.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * The copy of the platform's endpoint list that this instance holds, and the rules by which
 * messages change it. Messages of different responses can arrive out of order: the watch may
 * deliver changes while a fetch is pending, and the watch of the old address continues while the
 * new address is being connected to. Not thread-safe.
 */
final class PlatformEndpointList {
  private final PlatformEndpointCodec codec;
  private final Map<EndpointId, EndpointRecord> endpointsById = new HashMap<>();
  private long version;

  /** The number of times that the server's versions have started over. */
  private long epoch;

  private long invalidEntryCount;

  PlatformEndpointList(PlatformEndpointCodec codec) {
    this.codec = codec;
  }

  /** The kind of response that a message belongs to. */
  enum Origin {
    /** A watch; the next message of the response builds on this one. */
    WATCH,
    /** A fetch; the response has no other message. */
    FETCH
  }

  /**
   * Applies the endpoint list that the configuration contains.
   *
   * @return the endpoints of the message
   */
  List<EndpointRecord> applyCached(JsonNode message) throws InvalidEndpointListException {
    return apply(codec.read(message, endpointsById), version, Origin.WATCH).endpoints();
  }

  /** Parses a message without changing the held list, whose records replace invalid entries. */
  PlatformListMessage parseMessage(byte[] message) throws InvalidEndpointListException {
    return codec.read(message, endpointsById);
  }

  /**
   * Applies a message to the held list. The effect depends on the message's version:
   *
   * <ul>
   *   <li>Equal to or above the held version: the message is applied.
   *   <li>Below the held version, but not below {@code baseVersion}: the message is outdated. A
   *       delta yields an empty update, a fetched snapshot yields the held list. A snapshot from a
   *       watch is applied nevertheless, because the watch's next message builds on it.
   *   <li>Below {@code baseVersion}: the server's versions started over, which begins a new epoch.
   *       A snapshot is applied; a delta can't be used.
   * </ul>
   *
   * @param baseVersion the version of the previous message of the same response; for the first
   *     message, the held version at the time of the request
   * @return the update that describes the change
   * @throws InvalidEndpointListException if the message is a delta of a new epoch. The epoch has
   *     then changed, and the held version is 0, so that the next watch requests the complete list
   */
  Event.EndpointListUpdate apply(PlatformListMessage message, long baseVersion, Origin origin)
      throws InvalidEndpointListException {
    boolean snapshot = message.snapshot();
    if (message.version() < baseVersion) {
      epoch++;
      if (!snapshot) {
        version = 0;
        throw new InvalidEndpointListException(
            "expected a delta of version "
                + baseVersion
                + " or later, found version "
                + message.version());
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

  /** Returns the version of the held list; a watch from version 0 requests the complete list. */
  long version() {
    return version;
  }

  /**
   * Returns a number that changes whenever the server's versions start over. Versions of different
   * epochs can't be compared.
   */
  long epoch() {
    return epoch;
  }

  /** Returns the endpoints of the held list, in no particular order. */
  List<EndpointRecord> endpoints() {
    return List.copyOf(endpointsById.values());
  }

  /** Returns the number of invalid entries in all messages applied so far. */
  long invalidEntryCount() {
    return invalidEntryCount;
  }
}
