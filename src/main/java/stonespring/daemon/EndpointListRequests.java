package stonespring.daemon;

import stonespring.discovery.EndpointSource;

/**
 * Requests of a decision engine to the source of the endpoint list. Called on the thread that runs
 * the engine; the responses arrive as endpoint list events.
 */
public interface EndpointListRequests {
  /**
   * Starts or stops watching the endpoint list. A started watch always leads to an event, even if
   * the watch fails.
   */
  void watchEndpoints(boolean enabled);

  /** Fetches the whole endpoint list once. */
  void fetchEndpoints();

  /** Returns an implementation that forwards requests to an endpoint source. */
  static EndpointListRequests to(EndpointSource source) {
    return new EndpointListRequests() {
      @Override
      public void watchEndpoints(boolean enabled) {
        source.setWatchEnabled(enabled);
      }

      @Override
      public void fetchEndpoints() {
        source.fetch();
      }
    };
  }
}
