package stonespring.daemon;

import java.util.List;
import stonespring.state.KeyUpdate;

/**
 * What an {@link EngineHost} has done outside of it. Called on the thread that drives the host;
 * must not block.
 */
public interface HostEnvironment extends EndpointListRequests {
  /** Sends updates of published keys to all subscribers, in order; the list may be empty. */
  void publish(List<KeyUpdate> updates);
}
