package stonespring.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a server on loopback against clients that pipeline requests without reading answers. */
final class HttpPipeliningTest {
  /** Upper bound only: each wait ends as soon as the expected condition holds. */
  private static final int TIMEOUT_MILLIS = 10_000;

  /** Time without progress after which a client that is not read from counts as stopped. */
  private static final int STALL_MILLIS = 500;

  private static final int HANDLING_MILLIS = 20;

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

  private Socket connect() throws Exception {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static byte[] repeat(byte[] request, int count) {
    ByteBuffer repeated = ByteBuffer.allocate(request.length * count);
    for (int i = 0; i < count; i++) {
      repeated.put(request);
    }
    return repeated.array();
  }

  private static void await(BooleanSupplier condition, String what) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, what);
      Thread.sleep(1);
    }
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

  /** Guards against requests that are handled after their client closed the connection. */
  @Test
  void dropsWaitingRequestsWhenClientCloses() throws Exception {
    for (int requestCount : new int[] {2, 10, 20, 1000, 100_000}) {
      Queue<HttpServer.Exchange> exchanges = new ConcurrentLinkedQueue<>();
      start((request, exchange) -> exchanges.add(exchange));
      Socket client = connect();
      client.getOutputStream().write(repeat(REQUEST, requestCount));
      await(() -> !exchanges.isEmpty(), "the first request was not handled");
      client.close();
      HttpServer.Exchange first = exchanges.element();
      await(() -> !first.channel().isActive(), requestCount + " requests: close not noticed");
      first.respond(HttpResponse.of(200, "late"));
      loops.next().submit(() -> {}).sync();
      assertEquals(1, exchanges.size(), requestCount + " requests: handled after the close");
      server.stop().await();
    }
  }

  /** Each pipelined request is answered, in order; those that are too many are rejected. */
  @Test
  void rejectsPipelinedRequestsBeyondLimitInOrder() throws Exception {
    int requestCount = 500;
    Queue<HttpServer.Exchange> exchanges = new ConcurrentLinkedQueue<>();
    start(
        (request, exchange) -> {
          if (exchanges.isEmpty()) {
            exchanges.add(exchange);
          } else {
            exchange.respond(HttpResponse.of(200, "ok"));
          }
        });
    try (Socket client = connect()) {
      client.getOutputStream().write(repeat(REQUEST, requestCount));
      await(() -> !exchanges.isEmpty(), "the first request was not handled");
      client.getOutputStream().write("GET /last".getBytes(StandardCharsets.US_ASCII));
      Thread.sleep(STALL_MILLIS);
      exchanges.element().respond(HttpResponse.of(200, "first"));
      String answers = readAnswers(client.getInputStream(), requestCount);
      int firstRejection = answers.indexOf("HTTP/1.1 503");
      assertTrue(answers.startsWith("HTTP/1.1 200"), answers.substring(0, 40));
      assertTrue(firstRejection > 0, "no request was rejected");
      assertFalse(answers.substring(firstRejection).contains("HTTP/1.1 200"), "out of order");
    }
  }

  /** Guards against a client at full speed whose answers keep the event loop from all others. */
  @Test
  void answersOthersBesideClientThatPipelinesAtFullSpeed() throws Exception {
    start(
        (request, exchange) ->
            exchange
                .channel()
                .eventLoop()
                .schedule(
                    () -> exchange.respond(HttpResponse.of(200, "ok")),
                    HANDLING_MILLIS,
                    TimeUnit.MILLISECONDS));
    try (Socket flooding = connect()) {
      byte[] requests = repeat(REQUEST, 1000);
      startDaemon(
          () -> {
            while (true) {
              flooding.getOutputStream().write(requests);
            }
          });
      startDaemon(() -> flooding.getInputStream().transferTo(OutputStream.nullOutputStream()));
      for (int i = 0; i < 50; i++) {
        long startedNanos = System.nanoTime();
        try (Socket sound = connect()) {
          sound.getOutputStream().write(REQUEST);
          readAnswers(sound.getInputStream(), 1);
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        assertTrue(millis < 1000, "answer " + i + " took " + millis + " ms");
        Thread.sleep(20);
      }
    }
  }

  private interface SocketAction {
    void run() throws IOException;
  }

  /** Runs an action, which ends when its socket is closed, on a thread of its own. */
  private static void startDaemon(SocketAction action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (IOException e) {
                // The test closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static String readAnswers(InputStream in, int count) throws Exception {
    StringBuilder answers = new StringBuilder();
    byte[] buffer = new byte[1 << 16];
    while (answers.toString().split("HTTP/1.1 ", -1).length <= count) {
      int length = in.read(buffer);
      assertTrue(length > 0, "the connection was closed");
      answers.append(new String(buffer, 0, length, StandardCharsets.US_ASCII));
    }
    return answers.toString();
  }
}
