package stonespring.daemon;

import java.util.List;
import stonespring.state.KeyUpdate;

/**
 * The services that an {@link EngineHost} uses: publishing key updates and requesting the endpoint
 * list. Called on the thread that runs the host; must not block.
 */
public interface HostEnvironment extends EndpointListRequests {
  /** Sends updates of published keys to all subscribers, in order; the list may be empty. */
  void publish(List<KeyUpdate> updates);
}
