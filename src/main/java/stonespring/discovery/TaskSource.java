package stonespring.discovery;

import java.util.List;
import java.util.function.Consumer;
import stonespring.model.Event;
import stonespring.model.Listing;

/** Where the list of tasks comes from. Events are handed over from a thread of the source's own. */
public interface TaskSource {
  /** Starts; {@code list} hears the whole list after each change. */
  void start(Consumer<Event.ListTold> told, Consumer<List<Listing>> list);

  /**
   * Follows the list or stops to; one event answers, good or bad. A source that pushes by itself
   * passes it over.
   */
  void follow(boolean on);

  /** Asks for the whole list once. */
  void fetch();

  void stop();
}
