package stonespring.chp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.chp.StockMessages.TIMEOUT_MILLIS;
import static stonespring.chp.StockMessages.publish;
import static stonespring.chp.StockMessages.reply;
import static stonespring.chp.StockMessages.text;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.zeromq.SocketType;
import org.zeromq.ZContext;
import org.zeromq.ZMQ;
import org.zeromq.ZMsg;
import stonespring.zmtp.ZmtpLimits;

/** Tests the client against a server built on an independent ZeroMQ library. */
final class ChpClientTest {
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final ZContext context = new ZContext();
  private ZMQ.Socket router;
  private ZMQ.Socket publisher;
  private ZMQ.Socket collector;
  private ChpClient client;

  /** Records each call as text in {@link #events}. */
  private final class RecordingListener implements ChpClient.Listener {
    @Override
    public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
      events.add("snapshot " + keys.size() + " at " + sequence);
    }

    @Override
    public void updateReceived(ChpMessage.KvPub update) {
      events.add(update.key() + "=" + new String(update.value(), StandardCharsets.UTF_8));
    }

    @Override
    public void sessionReady() {
      events.add("ready");
    }

    @Override
    public void sessionEnded(String cause) {
      events.add("ended " + cause);
    }
  }

  @BeforeEach
  void connectClient() {
    router = createSocket(SocketType.ROUTER);
    publisher = createSocket(SocketType.XPUB);
    collector = createSocket(SocketType.SUB);
    int snapshotPort = router.bindToRandomPort("tcp://127.0.0.1");
    int updatePort = publisher.bindToRandomPort("tcp://127.0.0.1");
    int collectorPort = collector.bindToRandomPort("tcp://127.0.0.1");
    collector.subscribe("");
    client =
        new ChpClient((EventLoop) loops.next(), "/x/", TIMEOUT_MILLIS, new RecordingListener());
    client.connect("127.0.0.1", snapshotPort, updatePort, collectorPort, ZmtpLimits.DEFAULT);
  }

  private ZMQ.Socket createSocket(SocketType type) {
    ZMQ.Socket socket = context.createSocket(type);
    socket.setReceiveTimeOut(TIMEOUT_MILLIS);
    return socket;
  }

  @AfterEach
  void stopClientAndServer() {
    context.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void followsServerBuiltOnAnIndependentLibrary() throws Exception {
    assertArrayEquals(
        bytes("\u0001/x/"),
        publisher.recv(),
        "the subscription in the form of the library's ZMTP version");
    assertArrayEquals(bytes("\u0001HUGZ"), publisher.recv());
    publish(publisher, "/x/early", 5, "dropped, the snapshot holds it");
    publish(publisher, "/x/late", 8, "kept");
    ZMsg request = ZMsg.recvMsg(router);
    byte[] sender = request.pop().getData();
    assertEquals("ICANHAZ?", request.popString());
    assertEquals("/x/", request.popString());
    reply(router, sender, "/x/a", 7, "1");
    reply(router, sender, "KTHXBAI", 7, "/x/");
    assertEquals("snapshot 1 at 7", nextEvent());
    assertEquals("/x/late=kept", nextEvent());
    assertEquals("ready", awaitCollectorReady());
    loops
        .next()
        .execute(
            () ->
                client.set(
                    new ChpMessage.KvSet(
                        "/up/x", ChpMessage.EMPTY_FRAME, Map.of("ttl", "3"), bytes("v"))));
    ZMsg setMessage = ZMsg.recvMsg(collector);
    assertEquals("/up/x", text(setMessage, 0));
    assertEquals("ttl=3\n", text(setMessage, 3));
    assertEquals("v", text(setMessage, 4));
    loops.next().execute(client::close);
    assertEquals("ended closed", nextEvent());
  }

  /**
   * Returns the next event of the client. Polls the collector until then, because the library
   * processes new peers only when its socket is used.
   */
  private String awaitCollectorReady() throws InterruptedException {
    String event = null;
    for (int i = 0; i < 200 && event == null; i++) {
      collector.recv(ZMQ.DONTWAIT);
      event = events.poll(50, TimeUnit.MILLISECONDS);
    }
    return event;
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
