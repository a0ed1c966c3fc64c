package stonespring.discovery;

import java.util.List;
import java.util.function.Consumer;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/** The listeners of an {@link EndpointSource}. All methods must be called on its event loop. */
record SourceListeners(
    Consumer<Event.EndpointListUpdate> updateListener,
    Consumer<List<EndpointRecord>> listListener) {
  /** Reports an update, followed by the complete list that results from it. */
  void notifyUpdated(Event.EndpointListUpdate update, List<EndpointRecord> list) {
    updateListener.accept(update);
    listListener.accept(list);
  }

  /** Reports that a fetch or a watch failed; the last list stays valid. */
  void notifyFailed() {
    updateListener.accept(
        new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
  }
}
