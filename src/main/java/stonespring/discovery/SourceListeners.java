package stonespring.discovery;

import java.util.List;
import java.util.function.Consumer;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/** The listeners of an {@link EndpointSource}; called on its event loop. */
record SourceListeners(
    Consumer<Event.EndpointListUpdate> updates, Consumer<List<EndpointRecord>> lists) {
  /** Reports an update, and the whole list after it. */
  void updated(Event.EndpointListUpdate update, List<EndpointRecord> list) {
    updates.accept(update);
    lists.accept(list);
  }

  /** Reports that a fetch or a watch failed; the list stands. */
  void failed() {
    updates.accept(new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
  }
}
