package stonespring.daemon;

import java.io.IOException;
import java.net.ServerSocket;
import stonespring.http.CallByHand;

/** A request for the endpoint list, which the test answers in discovery's place. */
final class EndpointListRequest implements AutoCloseable {
  private final CallByHand exchange;

  EndpointListRequest(ServerSocket discovery) throws IOException {
    exchange = new CallByHand(discovery);
  }

  /** The request's path and query. */
  String target() {
    return exchange.target;
  }

  /** Begins the answer to a watch with a list; the answer stays open. */
  void beginWatch(String endpointList) throws IOException {
    exchange.raw(CallByHand.CHUNKS).chunk(endpointList + "\n");
  }

  /** Waits for the client's end of the connection, or the next byte from it. */
  boolean closedByClient() throws IOException {
    return exchange.socket.getInputStream().read() == -1;
  }

  @Override
  public void close() throws IOException {
    exchange.close();
  }
}
