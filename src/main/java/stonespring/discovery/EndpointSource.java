package stonespring.discovery;

import java.util.List;
import java.util.function.Consumer;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/** Where the list of tasks comes from. Events are handed over from a thread of the source's own. */
public interface EndpointSource {
  /** Starts; {@code list} hears the whole list after each change. */
  void start(Consumer<Event.EndpointListUpdate> told, Consumer<List<EndpointRecord>> list);

  /**
   * Follows the list or stops to; one event answers, good or bad. A source that pushes by itself
   * passes it over.
   */
  void follow(boolean on);

  /** Asks for the whole list once. */
  void fetch();

  void stop();
}
