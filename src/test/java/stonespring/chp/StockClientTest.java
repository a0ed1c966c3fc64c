package stonespring.chp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.zeromq.SocketType;
import org.zeromq.ZContext;
import org.zeromq.ZMQ;
import org.zeromq.ZMsg;
import stonespring.config.InstanceSettings;
import stonespring.daemon.ChpDaemon;
import stonespring.zmtp.ZmtpLimits;

/**
 * A client on an independent ZeroMQ library against the real assigner, and our client against that
 * library's sockets.
 */
final class StockClientTest {
  private static final int WAIT = 10_000; // ms; an upper bound, every wait ends with its event

  private static final String SCRIPT =
      """
            assigner = {"port": 0}
            fleet = {"zones": ["west", "east"], "proxies": 4, "standing_lines": 2}
            op_types = [{"name": "view", "repeat": "retryable", "target_latency_ms": 500, "op_timeout_ms": 1500}]
            channel = {"lines_per_s": 2000, "message_head_lines": 10, "backlog_lines": 3000}
            rules = {"empty_limit_s": 5, "cold_s": 10, "cold_share": 0.2, "fall_multiple": 3}
            reports = {"every_s": 0.2}
            tasks = {"from": "file", "path": "tasks.json"}
            """;
  private static final String TASKS =
      """
            [{"id": "a", "address": "127.0.0.1:1", "zone": "west"}, {"id": "b", "address": "127.0.0.1:2", "zone": "east"},
             {"id": "c", "address": "127.0.0.1:3", "zone": "west"}]
            """;

  private static ChpDaemon started(Path folder) throws Exception {
    Files.writeString(folder.resolve("tasks.json"), TASKS);
    Files.writeString(folder.resolve("settings.star"), SCRIPT);
    ChpDaemon daemon = new ChpDaemon(InstanceSettings.read(folder.resolve("settings.star")));
    daemon.start();
    return daemon;
  }

  private static String text(ZMsg message, int frame) {
    return message.toArray(new org.zeromq.ZFrame[0])[frame].getString(StandardCharsets.UTF_8);
  }

  private static void set(ZMQ.Socket collector, String key, String properties, String value) {
    ZMsg message = new ZMsg();
    message.add(key);
    message.add(new byte[8]);
    message.add(new byte[0]);
    message.add(properties);
    message.add(value);
    message.send(collector);
  }

  @Test
  void aStockClientSnapshotsFollowsSetsAndExpiresAKey(@TempDir Path folder) throws Exception {
    ChpDaemon daemon = started(folder);
    try (ZContext context = new ZContext()) {
      ZMQ.Socket updates = context.createSocket(SocketType.SUB);
      updates.setReceiveTimeOut(WAIT);
      updates.subscribe("/proxy/p1/");
      updates.subscribe("/presence/");
      updates.subscribe("HUGZ");
      updates.connect("tcp://127.0.0.1:" + (daemon.port() + 1));
      assertEquals("HUGZ", text(ZMsg.recvMsg(updates), 0), "the subscription's first sign");
      ZMQ.Socket collector = context.createSocket(SocketType.PUB);
      collector.connect("tcp://127.0.0.1:" + (daemon.port() + 2));
      String hello =
          "{\"life\":\"l1\",\"stream\":1,\"zone\":\"west\",\"ops\":3,\"fresh\":true,\"holds\":[]}";
      // A publisher drops what nobody has subscribed to yet: said again until it is heard.
      ZMsg message = null;
      updates.setReceiveTimeOut(50);
      for (int i = 0; i < 200 && message == null; i++) {
        set(collector, "/presence/p1", "ttl=1\n", hello);
        message = ZMsg.recvMsg(updates);
        message = message != null && text(message, 0).equals("HUGZ") ? null : message;
      }
      updates.setReceiveTimeOut(WAIT);
      assertEquals("/presence/p1", text(message, 0));
      long sequence = sequence(message);
      int lines = 0;
      for (message = ZMsg.recvMsg(updates);
          !text(message, 0).equals("/proxy/p1/commit");
          message = ZMsg.recvMsg(updates)) {
        if (!text(message, 0).equals("HUGZ")) {
          assertTrue(sequence(message) > sequence, "sequences rise strictly");
          sequence = sequence(message);
          lines += text(message, 0).startsWith("/proxy/p1/line/") ? 1 : 0;
        }
      }
      assertEquals(3, lines, "the fresh proxy is given a table of the three tasks there are");
      ZMQ.Socket snapshots = context.createSocket(SocketType.DEALER);
      snapshots.setReceiveTimeOut(WAIT);
      snapshots.connect("tcp://127.0.0.1:" + daemon.port());
      ZMsg ask = new ZMsg();
      ask.add("ICANHAZ?");
      ask.add("/proxy/p1/");
      ask.send(snapshots);
      int snapshotLines = 0;
      boolean committed = false;
      for (message = ZMsg.recvMsg(snapshots);
          !text(message, 0).equals("KTHXBAI");
          message = ZMsg.recvMsg(snapshots)) {
        snapshotLines += text(message, 0).startsWith("/proxy/p1/line/") ? 1 : 0;
        committed |= text(message, 0).equals("/proxy/p1/commit");
      }
      assertTrue(sequence(message) >= sequence, "the snapshot is as new as the updates");
      assertEquals("/proxy/p1/", text(message, 4));
      assertTrue(committed);
      assertEquals(3, snapshotLines);
      // Nothing is said any more: the key expires, and its deletion is published.
      do {
        message = ZMsg.recvMsg(updates);
        assertNotNull(message, "the expiry is published");
      } while (!text(message, 0).equals("/presence/p1") || !text(message, 4).isEmpty());
    } finally {
      daemon.stop();
    }
  }

  /**
   * The server's own status goes out each second; whoever follows something else must still hear
   * that it lives.
   */
  @Test
  void aFollowerOfAQuietSubtreeHearsThatABusyServerLives(@TempDir Path folder) throws Exception {
    ChpDaemon daemon = started(folder);
    try (ZContext context = new ZContext()) {
      ZMQ.Socket quiet = context.createSocket(SocketType.SUB);
      quiet.setReceiveTimeOut(WAIT);
      quiet.subscribe("/proxy/nobody/");
      quiet.subscribe("HUGZ");
      quiet.connect("tcp://127.0.0.1:" + (daemon.port() + 1));
      ZMQ.Socket busy = context.createSocket(SocketType.SUB);
      busy.setReceiveTimeOut(WAIT);
      busy.subscribe("/assigner/");
      busy.connect("tcp://127.0.0.1:" + (daemon.port() + 1));
      for (int i = 0; i < 3; i++) {
        assertEquals("/assigner/status", text(ZMsg.recvMsg(busy), 0));
        assertEquals("HUGZ", text(ZMsg.recvMsg(quiet), 0));
      }
    } finally {
      daemon.stop();
    }
  }

  private static long sequence(ZMsg message) {
    return ByteBuffer.wrap(message.toArray(new org.zeromq.ZFrame[0])[1].getData()).getLong();
  }

  @Test
  void ourClientFollowsAServerOnAStockLibrary() throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
    try (ZContext context = new ZContext()) {
      ZMQ.Socket router = context.createSocket(SocketType.ROUTER);
      ZMQ.Socket publisher = context.createSocket(SocketType.XPUB);
      ZMQ.Socket collector = context.createSocket(SocketType.SUB);
      for (ZMQ.Socket socket : List.of(router, publisher, collector)) {
        socket.setReceiveTimeOut(WAIT);
      }
      int at = router.bindToRandomPort("tcp://127.0.0.1");
      int updatesAt = publisher.bindToRandomPort("tcp://127.0.0.1");
      int collectorAt = collector.bindToRandomPort("tcp://127.0.0.1");
      collector.subscribe("");
      ChpClient client =
          new ChpClient(
              (EventLoop) loops.next(),
              "/x/",
              WAIT,
              new ChpClient.Listener() {
                @Override
                public void snapshot(List<ChpMessage.KvSync> keys, long sequence) {
                  heard.add("snapshot " + keys.size() + " at " + sequence);
                }

                @Override
                public void update(ChpMessage.KvPub update) {
                  heard.add(
                      update.key() + "=" + new String(update.value(), StandardCharsets.UTF_8));
                }

                @Override
                public void ready() {
                  heard.add("ready");
                }

                @Override
                public void ended(String cause) {
                  heard.add("ended " + cause);
                }
              });
      client.dial("127.0.0.1", at, updatesAt, collectorAt, ZmtpLimits.USUAL);
      assertArrayEquals(
          bytes("\u0001/x/"),
          publisher.recv(),
          "a subscription as this library's version takes it");
      assertArrayEquals(bytes("\u0001HUGZ"), publisher.recv());
      publish(publisher, "/x/early", 5, "dropped, the snapshot holds it");
      publish(publisher, "/x/late", 8, "kept");
      ZMsg ask = ZMsg.recvMsg(router);
      byte[] who = ask.pop().getData();
      assertEquals("ICANHAZ?", ask.popString());
      assertEquals("/x/", ask.popString());
      for (String[] row : new String[][] {{"/x/a", "7", "1"}, {"KTHXBAI", "7", "/x/"}}) {
        ZMsg reply = new ZMsg();
        reply.add(who);
        reply.add(row[0]);
        reply.add(ChpMessage.number(Long.parseLong(row[1])));
        reply.add(new byte[0]);
        reply.add(new byte[0]);
        reply.add(row[2]);
        reply.send(router);
      }
      assertEquals("snapshot 1 at 7", heard.poll(WAIT, TimeUnit.MILLISECONDS));
      assertEquals("/x/late=kept", heard.poll(WAIT, TimeUnit.MILLISECONDS));
      String ready = null;
      for (int i = 0; i < 200 && ready == null; i++) {
        collector.recv(
            ZMQ.DONTWAIT); // this library greets new peers only while its socket is called
        ready = heard.poll(50, TimeUnit.MILLISECONDS);
      }
      assertEquals("ready", ready);
      loops
          .next()
          .execute(
              () ->
                  client.set(
                      new ChpMessage.KvSet(
                          "/up/x", ChpMessage.NONE, Map.of("ttl", "3"), bytes("v"))));
      ZMsg set = ZMsg.recvMsg(collector);
      assertEquals("/up/x", text(set, 0));
      assertEquals("ttl=3\n", text(set, 3));
      assertEquals("v", text(set, 4));
      loops.next().execute(client::close);
      assertEquals("ended closed", heard.poll(WAIT, TimeUnit.MILLISECONDS));
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void publish(ZMQ.Socket publisher, String key, long sequence, String value) {
    ZMsg message = new ZMsg();
    message.add(key);
    message.add(ChpMessage.number(sequence));
    message.add(new byte[0]);
    message.add(new byte[0]);
    message.add(value);
    message.send(publisher);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
