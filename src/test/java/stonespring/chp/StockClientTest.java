package stonespring.chp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.chp.StockMessages.TIMEOUT_MILLIS;
import static stonespring.chp.StockMessages.sequence;
import static stonespring.chp.StockMessages.set;
import static stonespring.chp.StockMessages.text;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.zeromq.SocketType;
import org.zeromq.ZContext;
import org.zeromq.ZMQ;
import org.zeromq.ZMsg;
import stonespring.config.InstanceSettings;
import stonespring.daemon.ChpDaemon;

/** Tests a complete instance against a client built on an independent ZeroMQ library. */
final class StockClientTest {
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

  private static ChpDaemon startDaemon(Path folder) throws Exception {
    Files.writeString(folder.resolve("tasks.json"), TASKS);
    Files.writeString(folder.resolve("settings.star"), SCRIPT);
    ChpDaemon daemon = new ChpDaemon(InstanceSettings.read(folder.resolve("settings.star")));
    daemon.start();
    return daemon;
  }

  @Test
  void aStockClientSnapshotsFollowsSetsAndExpiresAKey(@TempDir Path folder) throws Exception {
    ChpDaemon daemon = startDaemon(folder);
    try (ZContext context = new ZContext()) {
      ZMQ.Socket updates = context.createSocket(SocketType.SUB);
      updates.setReceiveTimeOut(TIMEOUT_MILLIS);
      updates.subscribe("/proxy/p1/");
      updates.subscribe("/presence/");
      updates.subscribe("HUGZ");
      updates.connect("tcp://127.0.0.1:" + (daemon.port() + 1));
      assertEquals(
          "HUGZ",
          text(ZMsg.recvMsg(updates), 0),
          "the first message is the heartbeat that confirms the subscription");
      ZMQ.Socket collector = context.createSocket(SocketType.PUB);
      collector.connect("tcp://127.0.0.1:" + (daemon.port() + 2));
      ZMsg presence = setPresenceUntilPublished(collector, updates);
      assertEquals("/presence/p1", text(presence, 0));
      long sequence = assertTableOfThreeRoutes(updates, sequence(presence));
      assertSnapshotOfThreeRoutes(context, daemon.port(), sequence);
      // The client no longer renews the key: it expires, and its deletion is published.
      ZMsg message;
      do {
        message = ZMsg.recvMsg(updates);
        assertNotNull(message, "no message announced the expiry of the key");
      } while (!text(message, 0).equals("/presence/p1") || !text(message, 4).isEmpty());
    } finally {
      daemon.stop();
    }
  }

  /**
   * Sets the key repeatedly until it is published: a PUB socket drops messages that are sent before
   * the server has subscribed.
   */
  private static ZMsg setPresenceUntilPublished(ZMQ.Socket collector, ZMQ.Socket updates) {
    String presenceJson =
        "{\"life\":\"l1\",\"stream\":1,\"zone\":\"west\",\"ops\":3,\"fresh\":true,\"holds\":[]}";
    ZMsg message = null;
    updates.setReceiveTimeOut(50);
    for (int i = 0; i < 200 && message == null; i++) {
      set(collector, "/presence/p1", "ttl=1\n", presenceJson);
      message = ZMsg.recvMsg(updates);
      message = message != null && text(message, 0).equals("HUGZ") ? null : message;
    }
    updates.setReceiveTimeOut(TIMEOUT_MILLIS);
    return message;
  }

  /**
   * Receives updates up to the commit of the table and checks its three routes.
   *
   * @return the highest sequence received before the commit
   */
  private static long assertTableOfThreeRoutes(ZMQ.Socket updates, long firstSequence) {
    long sequence = firstSequence;
    int routes = 0;
    for (ZMsg message = ZMsg.recvMsg(updates);
        !text(message, 0).equals("/proxy/p1/commit");
        message = ZMsg.recvMsg(updates)) {
      if (!text(message, 0).equals("HUGZ")) {
        assertTrue(sequence(message) > sequence, "sequences must increase strictly");
        sequence = sequence(message);
        routes += text(message, 0).startsWith("/proxy/p1/line/") ? 1 : 0;
      }
    }
    assertEquals(
        3, routes, "a proxy without route tables gets routes to the three available endpoints");
    return sequence;
  }

  private static void assertSnapshotOfThreeRoutes(ZContext context, int port, long sequence) {
    ZMQ.Socket snapshots = context.createSocket(SocketType.DEALER);
    snapshots.setReceiveTimeOut(TIMEOUT_MILLIS);
    snapshots.connect("tcp://127.0.0.1:" + port);
    ZMsg request = new ZMsg();
    request.add("ICANHAZ?");
    request.add("/proxy/p1/");
    request.send(snapshots);
    int routes = 0;
    boolean committed = false;
    ZMsg message = ZMsg.recvMsg(snapshots);
    while (!text(message, 0).equals("KTHXBAI")) {
      routes += text(message, 0).startsWith("/proxy/p1/line/") ? 1 : 0;
      committed |= text(message, 0).equals("/proxy/p1/commit");
      message = ZMsg.recvMsg(snapshots);
    }
    assertTrue(sequence(message) >= sequence, "the snapshot must not be older than the updates");
    assertEquals("/proxy/p1/", text(message, 4));
    assertTrue(committed);
    assertEquals(3, routes);
  }

  /**
   * The server publishes its own status every second. Guards against heartbeats being left out for
   * followers of other subtrees, which do not receive the status.
   */
  @Test
  void sendsHeartbeatsToFollowerOfQuietSubtreeWhileServerIsBusy(@TempDir Path folder)
      throws Exception {
    ChpDaemon daemon = startDaemon(folder);
    try (ZContext context = new ZContext()) {
      ZMQ.Socket quiet = context.createSocket(SocketType.SUB);
      quiet.setReceiveTimeOut(TIMEOUT_MILLIS);
      quiet.subscribe("/proxy/nobody/");
      quiet.subscribe("HUGZ");
      quiet.connect("tcp://127.0.0.1:" + (daemon.port() + 1));
      ZMQ.Socket busy = context.createSocket(SocketType.SUB);
      busy.setReceiveTimeOut(TIMEOUT_MILLIS);
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
}
