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
 * Guards against a retry of a non-idempotent request that may have been executed. The tests make
 * attempts of a real proxy fail in different ways, with two plain server sockets as its endpoints.
 */
final class RequestOutcomeProofTest {
  /** How an endpoint breaks the connection after it has read part of a request. */
  private enum Ending {
    RESET,
    CLOSE,
    HALF_CLOSE
  }

  private interface EndpointBehaviour {
    void handle(Socket socket) throws IOException;
  }

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicInteger attempts = new AtomicInteger();
  private ServerSocket firstEndpoint;
  private ServerSocket secondEndpoint;
  private volatile EndpointBehaviour endpointBehaviour;
  private Proxy proxy;

  @BeforeEach
  void start() throws Exception {
    firstEndpoint = openEndpoint();
    secondEndpoint = openEndpoint();
    startProxy(firstEndpoint.getLocalPort(), secondEndpoint.getLocalPort());
  }

  private void startProxy(int... ports) throws Exception {
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
    firstEndpoint.close();
    secondEndpoint.close();
    proxy.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ServerSocket openEndpoint() throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                  attempts.incrementAndGet();
                  endpointBehaviour.handle(socket);
                } catch (IOException e) {
                  // Broken connections are part of the tests; a closed server socket ends the loop.
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
    return server;
  }

  /** Sends one request to the proxy and returns the proxy's answer. */
  private String sendRequest() throws IOException {
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

  /** Reads the head of a request that the proxy sends and returns its length in bytes. */
  private static int readHead(InputStream in) throws IOException {
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

  private static void sendAnswer(Socket socket, String head) throws IOException {
    readHead(socket.getInputStream());
    socket
        .getOutputStream()
        .write(
            (head + "\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
  }

  /** A request is sent only once, whatever number of its bytes the endpoint has read. */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void doesNotRetryWhenConnectionBreaksAfterAnyByte(Ending ending) throws Exception {
    AtomicInteger length = new AtomicInteger();
    endpointBehaviour =
        socket -> {
          length.set(readHead(socket.getInputStream()));
          socket.setSoLinger(true, 0);
        };
    sendRequest();
    assertTrue(length.get() > 100, "length of the request head in bytes: " + length);
    // Starts after the first byte: an earlier reset may reach the proxy before it has sent any
    // byte, which proves that the request was not executed.
    for (int cutAt = 1; cutAt <= length.get(); cutAt++) {
      int bytesToRead = cutAt;
      attempts.set(0);
      endpointBehaviour =
          socket -> {
            socket.getInputStream().readNBytes(bytesToRead);
            if (ending == Ending.RESET) {
              socket.setSoLinger(true, 0);
            } else if (ending == Ending.HALF_CLOSE) {
              socket.shutdownOutput();
              socket.getInputStream().readAllBytes();
            }
          };
      String answer = sendRequest();
      assertTrue(
          answer.startsWith("HTTP/1.1 503"),
          "answer when the connection broke after " + cutAt + " bytes: " + answer);
      assertTrue(
          !answer.contains("x-not-run"),
          "answered as not executed although the connection broke after " + cutAt + " bytes");
      assertEquals(
          1,
          attempts.get(),
          "attempts of a request whose connection broke after " + cutAt + " bytes");
    }
  }

  @Test
  void retriesWhenEndpointStatesThatItRejectedRequestUnread() throws Exception {
    endpointBehaviour = socket -> sendAnswer(socket, "HTTP/1.1 503 x\r\nx-not-run: 1");
    String answer = sendRequest();
    assertEquals(2, attempts.get());
    assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("x-not-run: 1"), answer);
  }

  @Test
  void doesNotRetryOnErrorStatusAlone() throws Exception {
    for (String status : List.of("400", "404", "408", "429", "500", "502", "503", "504")) {
      attempts.set(0);
      endpointBehaviour = socket -> sendAnswer(socket, "HTTP/1.1 " + status + " x");
      sendRequest();
      assertEquals(1, attempts.get(), "attempts after status " + status);
    }
  }

  @Test
  void doesNotRetryAfterMalformedAnswer() throws Exception {
    endpointBehaviour =
        socket -> {
          readHead(socket.getInputStream());
          socket
              .getOutputStream()
              .write("x-not-run: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        };
    sendRequest();
    assertEquals(1, attempts.get());
  }

  @Test
  void retriesOnOtherEndpointWhenConnectionIsRefused() throws Exception {
    secondEndpoint.close();
    endpointBehaviour = socket -> sendAnswer(socket, "HTTP/1.1 200 x");
    for (int i = 0; i < 20; i++) {
      assertTrue(
          sendRequest().startsWith("HTTP/1.1 200"),
          "a request refused by the closed endpoint is retried on the open one");
    }
    assertEquals(20, attempts.get());
  }

  /**
   * Among the failures that the HTTP client can report, only a failed connect proves that the
   * request was not executed. A failure that is added later is checked too.
   */
  @Test
  void onlyFailedConnectProvesNotExecutedAmongCallFailures() {
    for (HttpCallFailure failure : HttpCallFailure.values()) {
      assertEquals(
          failure == HttpCallFailure.CONNECT_FAILED,
          RequestExchange.outcome(failure).provesNotExecuted());
    }
    assertEquals(RequestOutcome.SUCCEEDED, RequestOutcome.ofAnswer(200, true));
    assertTrue(RequestOutcome.ofAnswer(503, true).provesNotExecuted());
  }
}
