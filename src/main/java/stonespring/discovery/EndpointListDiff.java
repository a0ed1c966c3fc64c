package stonespring.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * Converts a sequence of complete endpoint lists into updates: the first list becomes a snapshot,
 * each later one a delta from the list before it. Not thread-safe.
 */
final class EndpointListDiff {
  /**
   * The endpoints of the last list, sorted by id; empty before the first list and after {@link
   * #clearList}.
   */
  private Optional<TreeMap<String, EndpointRecord>> lastList = Optional.empty();

  /**
   * Replaces the list.
   *
   * @return the update that leads from the previous list to this one; empty if nothing changed
   */
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

  /** Returns the changed and added endpoints, then the removed ones; each group sorted by id. */
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

  /** Returns the last list, sorted by id; an empty list if there is none. */
  List<EndpointRecord> currentList() {
    return lastList.map(endpoints -> List.copyOf(endpoints.values())).orElse(List.of());
  }

  /**
   * Discards the last list, so that the next one becomes a snapshot. To be called whenever changes
   * may have been missed.
   */
  void clearList() {
    lastList = Optional.empty();
  }
}
