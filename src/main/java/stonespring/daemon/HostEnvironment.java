package stonespring.daemon;

import java.util.List;
import stonespring.state.KeyUpdate;

/** What the core of an instance has done outside; calls come from the loop that drives it. */
public interface HostEnvironment extends EndpointListRequests {
  /** Tells all fronts. */
  void publish(List<KeyUpdate> updates);
}
