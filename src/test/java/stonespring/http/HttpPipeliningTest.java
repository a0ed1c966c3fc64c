package stonespring.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a server on loopback against clients that pipeline requests without reading answers. */
final class HttpPipeliningTest {
  /** Time without progress after which a client that is not read from counts as stopped. */
  private static final int STALL_MILLIS = 500;

  private static final byte[] REQUEST =
      "POST /op HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private HttpServer server;

  private void start(HttpServer.Handler handler) throws Exception {
    server = new HttpServer(handler, 1 << 16).start(loops, "127.0.0.1", 0);
  }

  @AfterEach
  void stop() throws Exception {
    server.stop().await();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static byte[] repeat(byte[] request, int count) {
    ByteBuffer repeated = ByteBuffer.allocate(request.length * count);
    for (int i = 0; i < count; i++) {
      repeated.put(request);
    }
    return repeated.array();
  }

  /** Guards against answers that pile up in memory for a client that does not read them. */
  @Test
  void handlesNoMoreRequestsWhileClientReadsNoAnswers() throws Exception {
    int requestCount = 400_000;
    AtomicInteger handled = new AtomicInteger();
    HttpResponse response = HttpResponse.of(200, "x".repeat(1000));
    start(
        (request, exchange) -> {
          handled.incrementAndGet();
          exchange.respond(response);
        });
    try (SocketChannel client =
        SocketChannel.open(new InetSocketAddress("127.0.0.1", server.port()))) {
      client.configureBlocking(false);
      ByteBuffer requests = ByteBuffer.wrap(repeat(REQUEST, requestCount));
      long lastProgressNanos = System.nanoTime();
      while (requests.hasRemaining()
          && System.nanoTime() - lastProgressNanos < TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS)) {
        if (client.write(requests) > 0) {
          lastProgressNanos = System.nanoTime();
        }
      }
      assertTrue(requests.hasRemaining(), "the server read all requests");
      int answersInSocketBuffers = 20_000;
      assertTrue(handled.get() < answersInSocketBuffers, handled + " requests were handled");
    }
  }
}
