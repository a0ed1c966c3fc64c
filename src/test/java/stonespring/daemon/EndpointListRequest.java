package stonespring.daemon;

import java.io.IOException;
import java.net.ServerSocket;
import stonespring.http.ManualHttpExchange;

/** A request for the endpoint list that the test answers in place of the discovery server. */
final class EndpointListRequest implements AutoCloseable {
  private final ManualHttpExchange exchange;

  EndpointListRequest(ServerSocket discovery) throws IOException {
    exchange = new ManualHttpExchange(discovery);
  }

  /** Returns the request's path and query. */
  String target() {
    return exchange.target();
  }

  /** Answers that the server is unavailable. */
  void refuse() throws IOException {
    exchange.writeRaw("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  }

  /** Starts the response to a watch with an endpoint list; the response stays open. */
  void beginWatch(String endpointList) throws IOException {
    exchange.writeRaw(ManualHttpExchange.CHUNKED_HEAD).writeChunk(endpointList + "\n");
  }

  /** Sends another endpoint list on a watch that {@link #beginWatch} has started. */
  void continueWatch(String endpointList) throws IOException {
    exchange.writeChunk(endpointList + "\n");
  }

  /** Sends a piece of a message on a watch, unless the client has closed the connection. */
  void sendPiece(String piece) {
    try {
      exchange.writeChunk(piece);
    } catch (IOException e) {
      // The client no longer waits for the message.
    }
  }

  /** Waits until the client closes the connection or sends a byte; returns whether it closed it. */
  boolean closedByClient() throws IOException {
    return exchange.closedByClient();
  }

  @Override
  public void close() throws IOException {
    exchange.close();
  }
}
