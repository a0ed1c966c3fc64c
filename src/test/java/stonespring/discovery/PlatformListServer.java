package stonespring.discovery;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import stonespring.http.ManualHttpExchange;

/** A test double of the platform's discovery server; tests write its responses byte by byte. */
final class PlatformListServer implements AutoCloseable {
  private final ServerSocket server = new ServerSocket();
  private final List<ManualHttpExchange> exchanges = new ArrayList<>();

  PlatformListServer() throws IOException {
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    server.setSoTimeout(EndpointUpdates.TIMEOUT_MILLIS);
  }

  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  /** Waits for the next request. */
  ManualHttpExchange accept() throws IOException {
    ManualHttpExchange exchange = new ManualHttpExchange(server);
    exchanges.add(exchange);
    return exchange;
  }

  /** Waits for the next request and sends the head of a chunked response. */
  ManualHttpExchange acceptWatch() throws IOException {
    return accept().writeRaw(ManualHttpExchange.CHUNKED_HEAD);
  }

  /** Returns a list message that ends with a line feed. */
  static String message(int version, boolean snapshot, String... entries) {
    return "{\"seq\":"
        + version
        + ",\"whole\":"
        + snapshot
        + ",\"hosts\":["
        + String.join(",", entries)
        + "]}\n";
  }

  /** Returns a list entry in zone east with weight 1.5, started at Unix time 1000 ms. */
  static String entry(String id, String health) {
    return "{\"host\":\""
        + id
        + "\",\"dial\":\"10.1.0.18:7070\",\"site\":\"east\",\"class\":\"m2\",\"block\":3,\"health\":\""
        + health
        + "\",\"share\":1.5,\"born_ms\":1000}";
  }

  @Override
  public void close() throws IOException {
    for (ManualHttpExchange exchange : exchanges) {
      exchange.close();
    }
    server.close();
  }
}
