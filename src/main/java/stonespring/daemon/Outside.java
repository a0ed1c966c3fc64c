package stonespring.daemon;

import java.util.List;
import stonespring.state.Update;

/** What the core of an instance has done outside; calls come from the loop that drives it. */
public interface Outside extends ListAsks {
  /** Tells all fronts. */
  void publish(List<Update> updates);
}
