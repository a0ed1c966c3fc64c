package stonespring.discovery;

import java.util.List;
import java.util.function.Consumer;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * Provides the endpoint list and its changes. Methods may be called from any thread; listeners are
 * called on the event loop of the source, one call at a time.
 */
public interface EndpointSource {
  /**
   * Sets the listeners. Must be called exactly once, before any other method of this interface.
   *
   * @param updateListener receives every update, including {@link
   *     Event.ListUpdateKind#FETCH_FAILED}
   * @param listListener receives the complete list after each update that may have changed it
   */
  void start(
      Consumer<Event.EndpointListUpdate> updateListener,
      Consumer<List<EndpointRecord>> listListener);

  /**
   * Starts or stops watching the list. Starting replaces a watch that is already active. A started
   * watch reports at least one update. When it fails, it reports {@link
   * Event.ListUpdateKind#FETCH_FAILED} and does not restart by itself; another call is needed. A
   * source that watches the list at all times ignores this method.
   */
  void setWatchEnabled(boolean enabled);

  /**
   * Requests the complete list once. The update listener receives a snapshot, or {@link
   * Event.ListUpdateKind#FETCH_FAILED}.
   */
  void fetch();

  /** Stops watches and timers and closes the connections of this source. */
  void stop();
}
