package stonespring.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * Turns consecutive whole lists into updates: the first into a snapshot, each later one into a
 * delta. Not thread-safe.
 */
final class EndpointListDiff {
  /** The last list by id, sorted; empty before the first one and after a {@link #clearList}. */
  private Optional<TreeMap<String, EndpointRecord>> lastList = Optional.empty();

  /** Takes the next list; empty if nothing changed. */
  Optional<Event.EndpointListUpdate> replaceList(List<EndpointRecord> endpoints) {
    TreeMap<String, EndpointRecord> current = new TreeMap<>();
    for (EndpointRecord endpoint : endpoints) {
      current.put(endpoint.endpoint().name(), endpoint);
    }
    Optional<TreeMap<String, EndpointRecord>> previous = lastList;
    lastList = Optional.of(current);
    if (previous.isEmpty()) {
      return Optional.of(
          new Event.EndpointListUpdate(
              Event.ListUpdateKind.SNAPSHOT, List.copyOf(current.values())));
    }
    List<EndpointRecord> changes = findChanges(previous.get(), current);
    return changes.isEmpty()
        ? Optional.empty()
        : Optional.of(new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, changes));
  }

  /** Changed and added endpoints, then removed ones, each sorted by id. */
  private static List<EndpointRecord> findChanges(
      TreeMap<String, EndpointRecord> previous, TreeMap<String, EndpointRecord> current) {
    List<EndpointRecord> changes = new ArrayList<>();
    current.forEach(
        (id, endpoint) -> {
          if (!endpoint.equals(previous.get(id))) {
            changes.add(endpoint);
          }
        });
    previous.forEach(
        (id, endpoint) -> {
          if (!current.containsKey(id)) {
            changes.add(asRemoved(endpoint));
          }
        });
    return changes;
  }

  private static EndpointRecord asRemoved(EndpointRecord endpoint) {
    return new EndpointRecord(
        endpoint.endpoint(), endpoint.zone(), endpoint.weight(), EndpointRecord.State.REMOVED, 0);
  }

  /** The last list, sorted by id; empty if there is none. */
  List<EndpointRecord> currentList() {
    return lastList.map(endpoints -> List.copyOf(endpoints.values())).orElse(List.of());
  }

  /** Forgets the last list, as changes may have been missed: the next one is a snapshot again. */
  void clearList() {
    lastList = Optional.empty();
  }
}
