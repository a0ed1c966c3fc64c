package stonespring.discovery;

import java.util.List;
import java.util.function.Consumer;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * A source of the endpoint list. Its methods may be called from any thread; listeners are called on
 * the source's own event loop, one call at a time.
 */
public interface EndpointSource {
  /**
   * Sets the listeners; must be called once, before any other method.
   *
   * @param updateListener receives each update, failures included
   * @param listListener receives the whole list after each update that may have changed it
   */
  void start(
      Consumer<Event.EndpointListUpdate> updateListener,
      Consumer<List<EndpointRecord>> listListener);

  /**
   * Starts a watch of the list, in place of one that is under way, or ends it. A started watch is
   * answered by at least one update, {@link Event.ListUpdateKind#FETCH_FAILED} once it has failed;
   * it is then started again only by another call. A source that always watches ignores this.
   */
  void setWatchEnabled(boolean enabled);

  /** Requests the whole list once; answered by a snapshot or by a failure. */
  void fetch();

  /** Ends what is under way and frees connections and timers. */
  void stop();
}
