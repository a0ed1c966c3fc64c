package stonespring.daemon;

import java.util.HashSet;
import java.util.Set;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * All endpoints that have been in the endpoint list since the start, and those that are ready now.
 * Not thread-safe.
 */
final class ListedEndpoints {
  private final Set<EndpointId> everListed = new HashSet<>();
  private final Set<EndpointId> ready = new HashSet<>();

  void update(Event.EndpointListUpdate update) {
    if (update.kind() == Event.ListUpdateKind.SNAPSHOT) {
      ready.clear();
    }
    for (EndpointRecord endpoint : update.endpoints()) {
      everListed.add(endpoint.endpoint());
      if (endpoint.state() == EndpointRecord.State.READY) {
        ready.add(endpoint.endpoint());
      } else {
        ready.remove(endpoint.endpoint());
      }
    }
  }

  boolean wasListed(EndpointId endpoint) {
    return everListed.contains(endpoint);
  }

  int readyCount() {
    return ready.size();
  }
}
