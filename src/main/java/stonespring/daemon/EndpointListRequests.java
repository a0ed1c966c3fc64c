package stonespring.daemon;

import stonespring.discovery.EndpointSource;

/**
 * What a decision engine asks of the source of the endpoint list. Called on the thread that drives
 * the engine; the answers arrive as endpoint list events.
 */
public interface EndpointListRequests {
  /** Starts or stops watching the endpoint list. A started watch is answered, also if it fails. */
  void watchEndpoints(boolean enabled);

  /** Fetches the whole endpoint list once. */
  void fetchEndpoints();

  /** Passes requests on to an endpoint source. */
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
