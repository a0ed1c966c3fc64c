package stonespring.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import stonespring.netty.IncomingLimits;

/** Tests what a server answers to clients that exceed one of its limits. */
final class HttpServerLimitsTest {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final String SOUND_REQUEST = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Socket> sockets = new ArrayList<>();
  private HttpServer server;

  private void start(IncomingLimits limits) throws Exception {
    server =
        new HttpServer(
                (request, exchange) -> exchange.respond(HttpResponse.of(200, "ok")),
                MAX_BODY_BYTES,
                limits)
            .start(loops, "127.0.0.1", 0);
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket socket : sockets) {
      socket.close();
    }
    server.stop().await();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket send(String text) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    sockets.add(socket);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static int awaitStatus(Socket socket) throws IOException {
    byte[] statusLine = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    return Integer.parseInt(
        new String(statusLine, StandardCharsets.US_ASCII).substring("HTTP/1.1 ".length()));
  }

  @Test
  void answersOversizedMessagesWithTheirStatus() throws Exception {
    start(IncomingLimits.ofThisProcess());
    String longField = "f: " + "v".repeat(8000) + "\r\n";
    assertEquals(431, awaitStatus(send("GET / HTTP/1.1\r\n" + longField.repeat(6))));
    assertEquals(431, awaitStatus(send("GET / HTTP/1.1\r\n" + "f:\r\n".repeat(101))));
    assertEquals(431, awaitStatus(send("GET / HTTP/1.1\r\nf: " + "v".repeat(9000))));
    assertEquals(413, awaitStatus(send("POST / HTTP/1.1\r\ncontent-length: 65537\r\n\r\n")));
    assertEquals(400, awaitStatus(send("nonsense\r\n")));
  }

  /** The message that was begun first gives way; later ones and sound clients are served. */
  @Test
  void rejectsOldestIncompleteMessageWhenMemoryIsUsedUp() throws Exception {
    start(new IncomingLimits(200_000, 1 << 20, 100, TIMEOUT_MILLIS));
    String head = "POST / HTTP/1.1\r\ncontent-length: 50000\r\n\r\n";
    List<Socket> unfinished = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      unfinished.add(send(head + "z".repeat(49_999)));
      assertEquals(200, awaitStatus(send(SOUND_REQUEST)), "sound client after " + i);
    }
    assertEquals(503, awaitStatus(unfinished.get(0)));
    Socket last = unfinished.get(7);
    last.getOutputStream().write('z');
    assertEquals(200, awaitStatus(last));
  }

  @Test
  void rejectsMessageThatIsNotCompleteInTime() throws Exception {
    start(new IncomingLimits(1 << 20, 1 << 20, 100, 300));
    Socket idle = send("");
    Socket unfinished = send("GET / HT");
    assertEquals(408, awaitStatus(unfinished));
    awaitEnd(unfinished);
    idle.getOutputStream().write(SOUND_REQUEST.getBytes(StandardCharsets.US_ASCII));
    assertEquals(200, awaitStatus(idle), "a connection without a message has no time limit");
  }

  /** Reads until the server closes the connection. */
  private static void awaitEnd(Socket socket) throws IOException {
    socket.getInputStream().readAllBytes();
  }

  @Test
  void closesLongestIdleConnectionWhenThereAreTooMany() throws Exception {
    start(new IncomingLimits(1 << 20, 1 << 20, 4, TIMEOUT_MILLIS));
    Socket first = send(SOUND_REQUEST);
    assertEquals(200, awaitStatus(first));
    for (int i = 0; i < 40; i++) {
      assertEquals(200, awaitStatus(send(SOUND_REQUEST)), "connection " + i);
    }
    awaitEnd(first);
    assertTrue(server.connections().size() <= 5, server.connections().size() + " are open");
  }

  /** Guards against a log that grows with each client that sends what can't be read. */
  @Test
  void logsFewLinesForManyBadClients() throws Exception {
    Logger logger = (Logger) LoggerFactory.getLogger(HttpServerConnection.class);
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    appender.start();
    logger.addAppender(appender);
    try {
      start(IncomingLimits.ofThisProcess());
      long startedNanos = System.nanoTime();
      for (int i = 0; i < 300; i++) {
        try (Socket bad = send("nonsense\r\n")) {
          awaitEnd(bad);
        }
      }
      long begunSeconds = 2 + TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedNanos);
      int lines = appender.list.size();
      assertTrue(lines > 0 && lines <= 5 * begunSeconds, lines + " lines");
    } finally {
      logger.detachAppender(appender);
    }
  }
}
