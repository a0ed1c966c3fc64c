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
 * Peers that say what they must not: each loses its own connection, and the instance serves the
 * next one as before.
 */
final class BadPeerTest {
  private static final int WAIT = 10_000; // ms; an upper bound, every wait ends with its event
  private static Daemon daemon;
  private static MultiThreadIoEventLoopGroup loops;

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
    daemon = new Daemon(InstanceSettings.read(folder.resolve("settings.star")));
    daemon.start();
    loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  @AfterAll
  static void stop() throws InterruptedException {
    daemon.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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

  private static byte[] ready(String type) {
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

  /** Sends bytes to one of the three ports and waits until the instance ends the connection. */
  private static void endsTheConnection(int port, byte[] bytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", daemon.port() + port)) {
      socket.setSoTimeout(WAIT);
      socket.getOutputStream().write(bytes);
      InputStream in = socket.getInputStream();
      byte[] rest = new byte[4096];
      try {
        while (in.read(rest) >= 0) {
          // what it says before it ends the connection does not matter here
        }
      } catch (java.net.SocketTimeoutException e) {
        throw new AssertionError("the connection still stands", e);
      } catch (IOException e) {
        // a reset is an end too
      }
    }
  }

  private static final byte[] UP = join(greeting("NULL"), ready("PUB"));
  private static final String EIGHT = "\0\0\0\0\0\0\0\0";

  private static void set(String key, String uuid, String properties, String value)
      throws IOException {
    endsTheConnection(2, join(UP, message(key, EIGHT, uuid, properties, value)));
  }

  @Test
  void theTransport() throws Exception {
    for (int port = 0; port < 3; port++) {
      endsTheConnection(port, "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      endsTheConnection(port, greeting("CURVE"));
      endsTheConnection(port, join(greeting("NULL"), ready("REQ")));
      endsTheConnection(port, join(greeting("NULL"), ready("PUSH"), message("x")));
      endsTheConnection(port, join(greeting("NULL"), message("before READY")));
      endsTheConnection(port, join(greeting("NULL"), new byte[] {2, 0, 0, 0, 1, 0, 0, 0, 0}));
    }
    endsTheConnection(1, join(greeting("NULL"), ready("SUB"), message("not", "a subscription")));
    stillServes();
  }

  @Test
  void theChannel() throws Exception {
    endsTheConnection(0, join(greeting("NULL"), ready("DEALER"), message("WHATIS?", "")));
    endsTheConnection(
        0, join(greeting("NULL"), ready("DEALER"), message("ICANHAZ?", "no-slashes")));
    endsTheConnection(0, join(greeting("NULL"), ready("DEALER"), message("ICANHAZ?")));
    set("/presence/p", "", "", "{}");
    set("/presence/p", "", "ttl=0\n", "{}");
    set("/presence/p", "short", "ttl=3\n", "{}");
    set("/presence/p", "", "ttl=3", "{}");
    set("/presence/p", "", "ttl=3\n", "not json");
    set(
        "/presence/p",
        "",
        "ttl=3\n",
        "{\"life\":\"l\",\"stream\":1,\"zone\":\"nowhere\",\"ops\":1,\"fresh\":true}");
    set(
        "/presence/p",
        "",
        "ttl=3\n",
        "{\"life\":\"l\",\"stream\":1,\"zone\":\"west\",\"ops\":-1,\"fresh\":true}");
    set("/presence/p", "", "ttl=3\n", "");
    set("/assigner/status", "", "", "mine now");
    set("/up/nobody/report", "", "", "{\"span\":1}");
    set("/up/nobody/answer", "", "", "{\"origin\":\"o\",\"mark\":1,\"took\":0}");
    set("/up/p/report", "", "", "{\"span\":1,\"tasks\":[[\"a\",1,2,0]]}");
    set("/up/p/report", "", "", "{\"span\":1,\"ops\":[[\"no such type\",1,0]]}");
    set("no slash", "", "", "x");
    endsTheConnection(2, join(UP, message("/presence/p", "short", "", "", "x")));
    stillServes();
  }

  @Test
  void aNameThatIsTaken() throws Exception {
    String hello = "{\"life\":\"%s\",\"stream\":1,\"zone\":\"west\",\"ops\":1,\"fresh\":true}";
    try (Socket first = new Socket("127.0.0.1", daemon.port() + 2)) {
      first
          .getOutputStream()
          .write(
              join(
                  UP, message("/presence/taken", EIGHT, "", "ttl=9\n", String.format(hello, "a"))));
      first.setSoTimeout(WAIT);
      for (int i = 0; i < 500 && !keys("/presence/").contains("/presence/taken"); i++) {
        Thread.sleep(10);
      }
      set("/presence/taken", "", "ttl=9\n", String.format(hello, "b"));
      assertTrue(keys("/presence/").contains("/presence/taken"), "the first one stays");
    }
    stillServes();
  }

  private static String keys(String subtree) throws Exception {
    CompletableFuture<String> got = new CompletableFuture<>();
    ChpClient client =
        new ChpClient(
            (EventLoop) loops.next(),
            subtree,
            WAIT,
            new ChpClient.Listener() {
              @Override
              public void snapshot(List<ChpMessage.KvSync> keys, long sequence) {
                got.complete(Arrays.toString(keys.stream().map(ChpMessage.KvSync::key).toArray()));
              }

              @Override
              public void update(ChpMessage.KvPub update) {}

              @Override
              public void ended(String cause) {
                got.complete("ended: " + cause);
              }
            });
    client.connect("127.0.0.1", daemon.port(), false, ZmtpLimits.DEFAULT);
    String keys = got.get(WAIT, TimeUnit.MILLISECONDS);
    loops.next().execute(client::close);
    return keys;
  }

  private static void stillServes() throws Exception {
    assertEquals("[/assigner/status]", keys("/assigner/"));
  }
}
