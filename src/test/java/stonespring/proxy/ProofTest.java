package stonespring.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stonespring.http.HttpCallFailure;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointId;
import stonespring.model.RetrySafety;
import stonespring.proxy.routing.RequestOutcome;
import stonespring.proxy.routing.RouterSettings;

/**
 * What proves that a once-only op never ran, by causing it: two bare sockets for tasks, a real
 * proxy before them.
 */
final class ProofTest {
  /** What a task does once it has read so many bytes of an op. */
  private enum Way {
    RESET,
    CLOSE,
    HALF_CLOSE
  }

  private interface Act {
    void on(Socket socket) throws IOException;
  }

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicInteger tries = new AtomicInteger();
  private ServerSocket one;
  private ServerSocket other;
  private volatile Act act;
  private Proxy proxy;

  @BeforeEach
  void start() throws Exception {
    one = task();
    other = task();
    start(one.getLocalPort(), other.getLocalPort());
  }

  private void start(int... ports) throws Exception {
    RouterSettings routing =
        new RouterSettings(
            List.of(new RouterSettings.ClassSettings("extract", RetrySafety.NON_IDEMPOTENT, 0)),
            0,
            0,
            0,
            10,
            RouterSettings.Picking.WEIGHTED,
            AdmissionLimitKind.NONE);
    List<EndpointId> standing =
        java.util.Arrays.stream(ports)
            .mapToObj(p -> new EndpointId("t" + p + "@127.0.0.1:" + p))
            .toList();
    proxy =
        new Proxy(
                new ProxySettings(
                    "p",
                    "z",
                    1,
                    routing,
                    List.of(5_000L),
                    standing,
                    List.of(),
                    1,
                    0,
                    1000,
                    3000,
                    300,
                    1500,
                    3),
                (EventLoop) loops.next())
            .start(loops, 0);
  }

  @AfterEach
  void stop() throws Exception {
    one.close();
    other.close();
    proxy.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ServerSocket task() throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                  tries.incrementAndGet();
                  act.on(socket);
                } catch (IOException e) {
                  // a cut is what the test is about; a closed server ends it
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
    return server;
  }

  /** Sends one op; the status line of its final answer. */
  private String ask() throws IOException {
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
      client.setSoTimeout(10_000);
      client
          .getOutputStream()
          .write(
              "POST /op/extract HTTP/1.1\r\nhost: h\r\nx-op: a\r\ncontent-length: 0\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      byte[] answer = new byte[4096];
      int n = client.getInputStream().read(answer);
      return new String(answer, 0, Math.max(0, n), StandardCharsets.US_ASCII);
    }
  }

  /** The whole head of an op, as the proxy sends it. */
  private static int head(InputStream in) throws IOException {
    int n = 0;
    for (int match = 0; match < 4; n++) {
      int c = in.read();
      if (c < 0) {
        return n;
      }
      match = c == "\r\n\r\n".charAt(match) ? match + 1 : c == '\r' ? 1 : 0;
    }
    return n;
  }

  private static void answer(Socket socket, String head) throws IOException {
    head(socket.getInputStream());
    socket
        .getOutputStream()
        .write(
            (head + "\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
  }

  /** However far an op came when its connection broke, it is never sent a second time. */
  @ParameterizedTest
  @EnumSource(Way.class)
  void aBreakAtAnyByteIsNoProof(Way way) throws Exception {
    AtomicInteger length = new AtomicInteger();
    act =
        socket -> {
          length.set(head(socket.getInputStream()));
          socket.setSoLinger(true, 0);
        };
    ask();
    assertTrue(length.get() > 100, "an op has " + length + " bytes");
    // From the first byte read on: a reset before it may reach the proxy before it has sent any,
    // which is proof.
    for (int at = 1; at <= length.get(); at++) {
      int bytes = at;
      tries.set(0);
      act =
          socket -> {
            socket.getInputStream().readNBytes(bytes);
            if (way == Way.RESET) {
              socket.setSoLinger(true, 0);
            } else if (way == Way.HALF_CLOSE) {
              socket.shutdownOutput();
              socket.getInputStream().readAllBytes();
            }
          };
      String answer = ask();
      assertTrue(answer.startsWith("HTTP/1.1 503"), "cut after " + at + " bytes: " + answer);
      assertTrue(
          !answer.contains("x-not-run"), "cut after " + at + " bytes, and yet told as not run");
      assertEquals(1, tries.get(), "tries of an op cut after " + at + " bytes");
    }
  }

  @Test
  void aTasksWordThatItRefusedUnreadIsProof() throws Exception {
    act = socket -> answer(socket, "HTTP/1.1 503 x\r\nx-not-run: 1");
    String answer = ask();
    assertEquals(2, tries.get());
    assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("x-not-run: 1"), answer);
  }

  @Test
  void anErrorAloneIsNoProof() throws Exception {
    for (String status : List.of("400", "404", "408", "429", "500", "502", "503", "504")) {
      tries.set(0);
      act = socket -> answer(socket, "HTTP/1.1 " + status + " x");
      ask();
      assertEquals(1, tries.get(), "tries after " + status);
    }
  }

  @Test
  void bytesThatAreNoAnswerAreNoProof() throws Exception {
    act =
        socket -> {
          head(socket.getInputStream());
          socket
              .getOutputStream()
              .write("x-not-run: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        };
    ask();
    assertEquals(1, tries.get());
  }

  @Test
  void aConnectionNeverMadeIsProof() throws Exception {
    other.close();
    act = socket -> answer(socket, "HTTP/1.1 200 x");
    for (int i = 0; i < 20; i++) {
      assertTrue(ask().startsWith("HTTP/1.1 200"), "the closed one's ops go to the other");
    }
    assertEquals(20, tries.get());
  }

  /**
   * Each end that the client can tell has its place in the list, so that a new one can't pass for
   * proof.
   */
  @Test
  void everyFailureOfACallIsInTheList() {
    for (HttpCallFailure failure : HttpCallFailure.values()) {
      assertEquals(
          failure == HttpCallFailure.CONNECT_FAILED, Proxy.outcome(failure).provesNotExecuted());
    }
    assertEquals(RequestOutcome.SUCCEEDED, RequestOutcome.ofAnswer(200, true));
    assertTrue(RequestOutcome.ofAnswer(503, true).provesNotExecuted());
  }
}
