package stonespring.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import stonespring.model.Event;
import stonespring.model.Listing;

/** Whole lists in, events out: the first as a whole, each later one as what changed. */
final class ListDiff {
  private TreeMap<String, Listing> last;

  /** The event that a new list makes; null where nothing changed. */
  Event.ListTold next(List<Listing> whole) {
    TreeMap<String, Listing> now = new TreeMap<>();
    whole.forEach(listing -> now.put(listing.task().name(), listing));
    TreeMap<String, Listing> before = last;
    last = now;
    if (before == null) {
      return new Event.ListTold(Event.ListKind.WHOLE, List.copyOf(now.values()));
    }
    List<Listing> changes = new ArrayList<>();
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
                new Listing(
                    listing.task(), listing.zone(), listing.weight(), Listing.State.GONE, 0));
          }
        });
    return changes.isEmpty() ? null : new Event.ListTold(Event.ListKind.CHANGES, changes);
  }

  List<Listing> list() {
    return last == null ? List.of() : List.copyOf(last.values());
  }

  /** What was missed is not known any more: the next list counts as a whole. */
  void lost() {
    last = null;
  }
}
