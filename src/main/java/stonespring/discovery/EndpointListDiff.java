package stonespring.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/** Whole lists in, events out: the first as a whole, each later one as what changed. */
final class EndpointListDiff {
  private TreeMap<String, EndpointRecord> last;

  /** The event that a new list makes; null where nothing changed. */
  Event.EndpointListUpdate next(List<EndpointRecord> whole) {
    TreeMap<String, EndpointRecord> now = new TreeMap<>();
    whole.forEach(listing -> now.put(listing.endpoint().name(), listing));
    TreeMap<String, EndpointRecord> before = last;
    last = now;
    if (before == null) {
      return new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, List.copyOf(now.values()));
    }
    List<EndpointRecord> changes = new ArrayList<>();
    now.forEach(
        (name, listing) -> {
          if (!listing.equals(before.get(name))) {
            changes.add(listing);
          }
        });
    before.forEach(
        (name, listing) -> {
          if (!now.containsKey(name)) {
            changes.add(
                new EndpointRecord(
                    listing.endpoint(),
                    listing.zone(),
                    listing.weight(),
                    EndpointRecord.State.REMOVED,
                    0));
          }
        });
    return changes.isEmpty()
        ? null
        : new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, changes);
  }

  List<EndpointRecord> list() {
    return last == null ? List.of() : List.copyOf(last.values());
  }

  /** What was missed is not known any more: the next list counts as a whole. */
  void lost() {
    last = null;
  }
}
