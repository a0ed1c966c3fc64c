package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.config.InstanceSettings;
import stonespring.zmtp.ZmtpLimits;

/**
 * Tests that an instance closes the connections of peers that violate a protocol, and keeps serving
 * others.
 */
final class BadPeerTest {
  /** Upper bound of each wait, which ends as soon as its event happens. */
  private static final int TIMEOUT_MILLIS = 10_000;

  private static final byte[] PUB_HANDSHAKE = join(greeting("NULL"), readyCommand("PUB"));
  private static final String ZERO_SEQUENCE = "\0".repeat(8);

  private static ChpDaemon daemon;
  private static MultiThreadIoEventLoopGroup eventLoops;

  @TempDir private static Path folder;

  @BeforeAll
  static void start() throws Exception {
    Files.writeString(
        folder.resolve("tasks.json"),
        "[{\"id\": \"a\", \"address\": \"127.0.0.1:1\", \"zone\": \"west\"}]");
    Files.writeString(
        folder.resolve("settings.star"),
        """
                assigner = {"port": 0}
                fleet = {"zones": ["west"], "proxies": 4}
                op_types = [{"name": "view", "repeat": "retryable", "target_latency_ms": 500, "op_timeout_ms": 1500}]
                channel = {"lines_per_s": 2000, "backlog_lines": 3000}
                rules = {"empty_limit_s": 5, "cold_s": 10, "cold_share": 0.2, "fall_multiple": 3}
                tasks = {"from": "file", "path": "tasks.json"}
                """);
    daemon = new ChpDaemon(InstanceSettings.read(folder.resolve("settings.star")));
    daemon.start();
    eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  @AfterAll
  static void stop() throws InterruptedException {
    daemon.stop();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static byte[] greeting(String mechanism) {
    byte[] out = new byte[64];
    out[0] = (byte) 0xFF;
    out[9] = 0x7F;
    out[10] = 3;
    out[11] = 1;
    System.arraycopy(mechanism.getBytes(StandardCharsets.US_ASCII), 0, out, 12, mechanism.length());
    return out;
  }

  private static byte[] readyCommand(String type) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.write(5);
    body.writeBytes("READY".getBytes(StandardCharsets.US_ASCII));
    body.write(11);
    body.writeBytes("Socket-Type".getBytes(StandardCharsets.US_ASCII));
    body.writeBytes(new byte[] {0, 0, 0, (byte) type.length()});
    body.writeBytes(type.getBytes(StandardCharsets.US_ASCII));
    return join(new byte[] {4, (byte) body.size()}, body.toByteArray());
  }

  private static byte[] join(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  private static byte[] message(String... frames) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int i = 0; i < frames.length; i++) {
      byte[] body = frames[i].getBytes(StandardCharsets.ISO_8859_1);
      out.write(i + 1 < frames.length ? 1 : 0);
      out.write(body.length);
      out.writeBytes(body);
    }
    return out.toByteArray();
  }

  /** Sends bytes to one of the three ports and waits until the instance closes the connection. */
  private static void assertCloses(int portOffset, byte[] bytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", daemon.port() + portOffset)) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes);
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[4096];
      try {
        while (in.read(buffer) >= 0) {
          // data sent before the close is irrelevant
        }
      } catch (SocketTimeoutException e) {
        throw new AssertionError("the instance did not close the connection in time", e);
      } catch (IOException e) {
        // a reset closes the connection too
      }
    }
  }

  /** Sends a key to the collector port and waits until the instance closes the connection. */
  private static void assertClosesOnKey(String key, String uuid, String properties, String value)
      throws IOException {
    assertCloses(2, join(PUB_HANDSHAKE, message(key, ZERO_SEQUENCE, uuid, properties, value)));
  }

  @Test
  void closesConnectionsThatViolateZmtp() throws Exception {
    for (int portOffset = 0; portOffset < 3; portOffset++) {
      assertCloses(portOffset, "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertCloses(portOffset, greeting("CURVE"));
      assertCloses(portOffset, join(greeting("NULL"), readyCommand("REQ")));
      assertCloses(portOffset, join(greeting("NULL"), readyCommand("PUSH"), message("x")));
      assertCloses(portOffset, join(greeting("NULL"), message("before READY")));
      assertCloses(portOffset, join(greeting("NULL"), new byte[] {2, 0, 0, 0, 1, 0, 0, 0, 0}));
    }
    assertCloses(1, join(greeting("NULL"), readyCommand("SUB"), message("not", "a subscription")));
    assertStillServes();
  }

  @Test
  void closesConnectionsThatViolateChp() throws Exception {
    assertCloses(0, join(greeting("NULL"), readyCommand("DEALER"), message("WHATIS?", "")));
    assertCloses(
        0, join(greeting("NULL"), readyCommand("DEALER"), message("ICANHAZ?", "no-slashes")));
    assertCloses(0, join(greeting("NULL"), readyCommand("DEALER"), message("ICANHAZ?")));
    assertClosesOnKey("/presence/p", "", "", "{}");
    assertClosesOnKey("/presence/p", "", "ttl=0\n", "{}");
    assertClosesOnKey("/presence/p", "short", "ttl=3\n", "{}");
    assertClosesOnKey("/presence/p", "", "ttl=3", "{}");
    assertClosesOnKey("/presence/p", "", "ttl=3\n", "not json");
    assertClosesOnKey(
        "/presence/p",
        "",
        "ttl=3\n",
        "{\"life\":\"l\",\"stream\":1,\"zone\":\"nowhere\",\"ops\":1,\"fresh\":true}");
    assertClosesOnKey(
        "/presence/p",
        "",
        "ttl=3\n",
        "{\"life\":\"l\",\"stream\":1,\"zone\":\"west\",\"ops\":-1,\"fresh\":true}");
    assertClosesOnKey("/presence/p", "", "ttl=3\n", "");
    assertClosesOnKey("/assigner/status", "", "", "mine now");
    assertClosesOnKey("/up/nobody/report", "", "", "{\"span\":1}");
    assertClosesOnKey("/up/nobody/answer", "", "", "{\"origin\":\"o\",\"mark\":1,\"took\":0}");
    assertClosesOnKey("/up/p/report", "", "", "{\"span\":1,\"tasks\":[[\"a\",1,2,0]]}");
    assertClosesOnKey("/up/p/report", "", "", "{\"span\":1,\"ops\":[[\"no such type\",1,0]]}");
    assertClosesOnKey("no slash", "", "", "x");
    assertCloses(2, join(PUB_HANDSHAKE, message("/presence/p", "short", "", "", "x")));
    assertStillServes();
  }

  @Test
  void closesConnectionThatClaimsNameOfConnectedProxy() throws Exception {
    String hello = "{\"life\":\"%s\",\"stream\":1,\"zone\":\"west\",\"ops\":1,\"fresh\":true}";
    try (Socket first = new Socket("127.0.0.1", daemon.port() + 2)) {
      first
          .getOutputStream()
          .write(
              join(
                  PUB_HANDSHAKE,
                  message(
                      "/presence/taken", ZERO_SEQUENCE, "", "ttl=9\n", String.format(hello, "a"))));
      first.setSoTimeout(TIMEOUT_MILLIS);
      awaitPresence("/presence/taken");
      assertClosesOnKey("/presence/taken", "", "ttl=9\n", String.format(hello, "b"));
      assertTrue(keys("/presence/").contains("/presence/taken"), "the first proxy keeps the name");
    }
    assertStillServes();
  }

  private static void awaitPresence(String key) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!keys("/presence/").contains(key)) {
      assertTrue(System.nanoTime() < deadlineNanos, key + " was not published in time");
    }
  }

  private static String keys(String subtree) throws Exception {
    CompletableFuture<String> snapshot = new CompletableFuture<>();
    ChpClient client =
        new ChpClient(
            (EventLoop) eventLoops.next(),
            subtree,
            TIMEOUT_MILLIS,
            new ChpClient.Listener() {
              @Override
              public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
                snapshot.complete(
                    Arrays.toString(keys.stream().map(ChpMessage.KvSync::key).toArray()));
              }

              @Override
              public void updateReceived(ChpMessage.KvPub update) {}

              @Override
              public void sessionEnded(String cause) {
                snapshot.complete("ended: " + cause);
              }
            });
    client.connect("127.0.0.1", daemon.port(), false, ZmtpLimits.DEFAULT);
    String keys = snapshot.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    eventLoops.next().execute(client::close);
    return keys;
  }

  private static void assertStillServes() throws Exception {
    assertEquals("[/assigner/status]", keys("/assigner/"));
  }
}
