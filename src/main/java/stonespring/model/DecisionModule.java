package stonespring.model;

import java.util.List;

/**
 * How a host calls an instance of the decision logic: all events of one moment, then its orders.
 */
public interface DecisionModule {
  /** Takes one event; {@code now} is in tenths of a millisecond and never goes back. */
  void take(long now, Event event);

  /** Ends the moment and hands over what is to be done, in order. */
  List<Order> finish(long now);
}
