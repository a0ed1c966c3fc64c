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
 * What proves that a non-idempotent request was not executed, by causing it: two bare sockets as
 * endpoints, a real proxy before them.
 */
final class RequestOutcomeProofTest {
  /** What an endpoint does once it has read so many bytes of a request. */
  private enum Ending {
    RESET,
    CLOSE,
    HALF_CLOSE
  }

  private interface Behaviour {
    void on(Socket socket) throws IOException;
  }

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicInteger attempts = new AtomicInteger();
  private ServerSocket one;
  private ServerSocket other;
  private volatile Behaviour behaviour;
  private Proxy proxy;

  @BeforeEach
  void start() throws Exception {
    one = endpoint();
    other = endpoint();
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
    List<EndpointId> bootstrapEndpoints =
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
                    bootstrapEndpoints,
                    1,
                    new ProxySettings.InstanceLink(List.of(), 0, 1000, 3000, 300, 1500, 3)),
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

  private ServerSocket endpoint() throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                  attempts.incrementAndGet();
                  behaviour.on(socket);
                } catch (IOException e) {
                  // a cut is what the test is about; a closed server ends it
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
    return server;
  }

  /** Sends one request; returns its final answer. */
  private String request() throws IOException {
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

  /** Reads the whole head of a request, as the proxy sends it; returns its bytes. */
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

  /** However far a request came when its connection broke, it is never sent a second time. */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void aBreakAtAnyByteProvesNothing(Ending ending) throws Exception {
    AtomicInteger length = new AtomicInteger();
    behaviour =
        socket -> {
          length.set(head(socket.getInputStream()));
          socket.setSoLinger(true, 0);
        };
    request();
    assertTrue(length.get() > 100, "a request has " + length + " bytes");
    // From the first byte read on: a reset before it may reach the proxy before it has sent any,
    // which is proof.
    for (int at = 1; at <= length.get(); at++) {
      int bytes = at;
      attempts.set(0);
      behaviour =
          socket -> {
            socket.getInputStream().readNBytes(bytes);
            if (ending == Ending.RESET) {
              socket.setSoLinger(true, 0);
            } else if (ending == Ending.HALF_CLOSE) {
              socket.shutdownOutput();
              socket.getInputStream().readAllBytes();
            }
          };
      String answer = request();
      assertTrue(answer.startsWith("HTTP/1.1 503"), "cut after " + at + " bytes: " + answer);
      assertTrue(
          !answer.contains("x-not-run"),
          "cut after " + at + " bytes, and yet answered as not executed");
      assertEquals(1, attempts.get(), "attempts of a request cut after " + at + " bytes");
    }
  }

  @Test
  void anEndpointsStatementThatItRejectedUnreadIsProof() throws Exception {
    behaviour = socket -> answer(socket, "HTTP/1.1 503 x\r\nx-not-run: 1");
    String answer = request();
    assertEquals(2, attempts.get());
    assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("x-not-run: 1"), answer);
  }

  @Test
  void anErrorStatusAloneProvesNothing() throws Exception {
    for (String status : List.of("400", "404", "408", "429", "500", "502", "503", "504")) {
      attempts.set(0);
      behaviour = socket -> answer(socket, "HTTP/1.1 " + status + " x");
      request();
      assertEquals(1, attempts.get(), "attempts after " + status);
    }
  }

  @Test
  void malformedAnswersProveNothing() throws Exception {
    behaviour =
        socket -> {
          head(socket.getInputStream());
          socket
              .getOutputStream()
              .write("x-not-run: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        };
    request();
    assertEquals(1, attempts.get());
  }

  @Test
  void aConnectionThatWasNeverMadeIsProof() throws Exception {
    other.close();
    behaviour = socket -> answer(socket, "HTTP/1.1 200 x");
    for (int i = 0; i < 20; i++) {
      assertTrue(request().startsWith("HTTP/1.1 200"), "the closed one's requests go to the other");
    }
    assertEquals(20, attempts.get());
  }

  /**
   * Every failure that the client can report has an outcome, so that a new one can't pass for
   * proof.
   */
  @Test
  void everyFailureOfACallHasAnOutcome() {
    for (HttpCallFailure failure : HttpCallFailure.values()) {
      assertEquals(
          failure == HttpCallFailure.CONNECT_FAILED,
          RequestExchange.outcome(failure).provesNotExecuted());
    }
    assertEquals(RequestOutcome.SUCCEEDED, RequestOutcome.ofAnswer(200, true));
    assertTrue(RequestOutcome.ofAnswer(503, true).provesNotExecuted());
  }
}
