package stonespring.daemon;

import java.io.IOException;
import java.net.ServerSocket;
import stonespring.http.ManualHttpExchange;

/** A request for the endpoint list, which the test answers in discovery's place. */
final class EndpointListRequest implements AutoCloseable {
  private final ManualHttpExchange exchange;

  EndpointListRequest(ServerSocket discovery) throws IOException {
    exchange = new ManualHttpExchange(discovery);
  }

  /** The request's path and query. */
  String target() {
    return exchange.target();
  }

  /** Begins the answer to a watch with a list; the answer stays open. */
  void beginWatch(String endpointList) throws IOException {
    exchange.writeRaw(ManualHttpExchange.CHUNKED_HEAD).writeChunk(endpointList + "\n");
  }

  /** Waits for the client's end of the connection, or the next byte from it. */
  boolean closedByClient() throws IOException {
    return exchange.closedByClient();
  }

  @Override
  public void close() throws IOException {
    exchange.close();
  }
}
