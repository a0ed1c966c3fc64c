package stonespring.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointId;
import stonespring.model.RetrySafety;
import stonespring.proxy.routing.RouterSettings;

/**
 * Guards against requests that a proxy sends to an endpoint although their client has closed its
 * connection. The requests are non-idempotent, so that each one sent may have an effect.
 */
final class AbandonedRequestsTest {
  private static final int TIMEOUT_MILLIS = 10_000;

  /** Time within which a request that is sent on by mistake reaches the endpoint. */
  private static final int QUIET_MILLIS = 500;

  private static final String ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** The endpoint's connections on which a request has arrived. */
  private final LinkedBlockingQueue<Socket> arrivals = new LinkedBlockingQueue<>();

  private ServerSocket endpoint;
  private Proxy proxy;

  @BeforeEach
  void start() throws Exception {
    endpoint = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::acceptRequests);
    thread.setDaemon(true);
    thread.start();
    RouterSettings routing =
        new RouterSettings(
            List.of(new RouterSettings.ClassSettings("extract", RetrySafety.NON_IDEMPOTENT, 0)),
            0,
            0,
            0,
            10,
            RouterSettings.Picking.WEIGHTED,
            AdmissionLimitKind.NONE);
    int port = endpoint.getLocalPort();
    ProxySettings settings =
        new ProxySettings(
            "p",
            "z",
            1,
            routing,
            List.of(5_000L),
            List.of(new EndpointId("t@127.0.0.1:" + port)),
            1,
            new ProxySettings.InstanceLink(List.of(), 0, 1000, 3000, 300, 1500, 3));
    proxy = new Proxy(settings, (EventLoop) loops.next()).start(loops, 0);
  }

  /** Reads requests, which are short enough to arrive in one read. */
  private void acceptRequests() {
    while (!endpoint.isClosed()) {
      try {
        Socket socket = endpoint.accept();
        Thread reader = new Thread(() -> readRequests(socket));
        reader.setDaemon(true);
        reader.start();
      } catch (IOException e) {
        // The endpoint was closed, which ends the loop.
      }
    }
  }

  private void readRequests(Socket socket) {
    byte[] buffer = new byte[4096];
    try {
      while (socket.getInputStream().read(buffer) > 0) {
        arrivals.add(socket);
      }
    } catch (IOException e) {
      // The connection was reset.
    }
  }

  @AfterEach
  void stop() throws Exception {
    endpoint.close();
    proxy.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket sendRequests(int count) throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < count; i++) {
      requests.append("POST /op/extract HTTP/1.1\r\nhost: h\r\nx-op: r").append(i);
      requests.append("\r\ncontent-length: 0\r\n\r\n");
    }
    client.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
    return client;
  }

  private Socket awaitArrival() throws InterruptedException {
    Socket arrival = arrivals.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertTrue(arrival != null, "no request arrived at the endpoint");
    return arrival;
  }

  private void assertNoMoreArrivals() throws InterruptedException {
    Thread.sleep(QUIET_MILLIS);
    assertEquals(0, arrivals.size(), "requests that arrived after their client had left");
  }

  @Test
  void sendsNoPipelinedRequestAfterClientCloses() throws Exception {
    Socket client = sendRequests(2000);
    Socket first = awaitArrival();
    client.close();
    Thread.sleep(QUIET_MILLIS);
    first.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
    assertNoMoreArrivals();
  }

  @Test
  void sendsNoPipelinedRequestAfterClientResets() throws Exception {
    Socket client = sendRequests(2000);
    Socket first = awaitArrival();
    client.setSoLinger(true, 0);
    client.close();
    Thread.sleep(QUIET_MILLIS);
    first.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
    assertNoMoreArrivals();
  }

  /** Requests wait in a stalled proxy; those whose client left by its end are dropped. */
  @Test
  void sendsNoRequestAfterStallWhoseClientLeft() throws Exception {
    proxy.setStalled(true);
    Socket client = sendRequests(1);
    Thread.sleep(QUIET_MILLIS);
    client.close();
    Thread.sleep(QUIET_MILLIS);
    proxy.setStalled(false);
    assertNoMoreArrivals();
    try (Socket sound = sendRequests(1)) {
      awaitArrival().getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
      assertTrue(sound.getInputStream().read() > 0);
    }
  }
}
