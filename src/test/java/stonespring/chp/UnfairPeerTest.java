package stonespring.chp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.ProxyConnection;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.proxyapi.chp.ChpProxyApi;
import stonespring.state.KeySnapshot;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;
import stonespring.zmtp.ZmtpLimits;

/** Tests a server against single peers that send at full speed, by the bytes of the protocol. */
final class UnfairPeerTest {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int MAX_PENDING_BYTES = 1 << 20;

  /** Time within which a server that reads on by mistake has read far more than it may. */
  private static final int QUIET_MILLIS = 1_000;

  private static final String GREETING =
      "FF 0000000000000000 7F 03 01 4E554C4C 00000000000000000000000000000000 00" + "00".repeat(31);
  private static final String READY = "04 %02X 05 5245414459 0B 536F636B65742D54797065 000000%02X";

  /** Counts the messages that are queued for handling; none of them is ever handled. */
  private static final class StalledHandler implements ProxyMessageHandler {
    private final AtomicInteger queued = new AtomicInteger();

    @Override
    public boolean handleHello(
        String proxy, ProxyHello hello, long sessionTimeoutDeciMillis, ProxyConnection connection) {
      queued.incrementAndGet();
      return true;
    }

    @Override
    public boolean handleReport(String proxy, ProxyReport report, ProxyConnection connection) {
      queued.incrementAndGet();
      return true;
    }

    @Override
    public boolean handleAcknowledgement(
        String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection connection) {
      queued.incrementAndGet();
      return true;
    }

    @Override
    public boolean requestSnapshot(String subtree, Consumer<KeySnapshot> receiver) {
      return true;
    }

    @Override
    public void handleConnectionClosed(ProxyConnection connection) {}
  }

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final StalledHandler handler = new StalledHandler();
  private ChpServer server;

  @BeforeEach
  void start() throws Exception {
    ZmtpLimits limits =
        new ZmtpLimits(1 << 20, 2 << 20, 64, MAX_PENDING_BYTES, 256, TIMEOUT_MILLIS, 100);
    server =
        new ChpServer(
            loops, limits, new ChpProxyApi(handler, new NameTable(List.of("west"), List.of("a"))));
    server.start("127.0.0.1", 0);
  }

  @AfterEach
  void stop() throws Exception {
    server.stop(0);
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket connect(int port, String socketType) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    byte[] type = socketType.getBytes(StandardCharsets.US_ASCII);
    String ready = READY.formatted(6 + 12 + 4 + type.length, type.length);
    socket.getOutputStream().write(HexFormat.of().parseHex((GREETING + ready).replace(" ", "")));
    socket.getOutputStream().write(type);
    return socket;
  }

  private static byte[] command(String name, byte[] data) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(new byte[] {4, (byte) (1 + name.length() + data.length), (byte) name.length()});
    out.write(name.getBytes(StandardCharsets.US_ASCII));
    out.write(data);
    return out.toByteArray();
  }

  private static byte[] command(String name, String data) throws IOException {
    return command(name, data.getBytes(StandardCharsets.US_ASCII));
  }

  private static byte[] repeat(byte[] bytes, int count) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int i = 0; i < count; i++) {
      out.write(bytes);
    }
    return out.toByteArray();
  }

  /** Writes until the server closes the connection; fails the test if it does not. */
  private static void writeUntilClosed(Socket socket, byte[] bytes, int maxWrites)
      throws IOException {
    OutputStream out = socket.getOutputStream();
    try {
      for (int i = 0; i < maxWrites; i++) {
        out.write(bytes);
      }
    } catch (SocketException e) {
      return;
    }
    throw new AssertionError("the connection is still open after " + maxWrites + " writes");
  }

  /** Guards against PONGs that pile up in memory for a peer that does not read them. */
  @Test
  void closesConnectionOfPeerThatDoesNotReadPongs() throws Exception {
    try (Socket socket = connect(server.port(), "DEALER")) {
      byte[] pings = repeat(command("PING", new byte[18]), 2000);
      writeUntilClosed(socket, pings, 20_000_000 / pings.length);
    }
  }

  /** Guards against subscriptions that are not counted because others were cancelled. */
  @Test
  void countsSubscriptionsWhateverPeerCancels() throws Exception {
    try (Socket socket = connect(server.port() + 1, "SUB")) {
      ByteArrayOutputStream subscriptions = new ByteArrayOutputStream();
      for (int i = 0; i < 10_000; i++) {
        subscriptions.write(command("CANCEL", "/never/"));
        subscriptions.write(command("SUBSCRIBE", "/p" + i + "/"));
      }
      writeUntilClosed(socket, subscriptions.toByteArray(), 50);
    }
  }

  /** Guards against a prefix of a MiB that is kept for each subscription. */
  @Test
  void closesConnectionWithLongPrefix() throws Exception {
    try (Socket socket = connect(server.port() + 1, "SUB")) {
      int prefixBytes = 1025;
      ByteBuffer subscription = ByteBuffer.allocate(10 + prefixBytes);
      subscription.put((byte) 2).putLong(1 + prefixBytes).put((byte) 1);
      socket.getOutputStream().write(subscription.array());
      // The end of the stream; a timeout fails the test.
      socket.getInputStream().readAllBytes();
    }
  }

  /** Guards against a peer whose messages fill the queue that all peers share. */
  @Test
  void readsNoMoreFromPeerWhoseMessagesWait() throws Exception {
    String value = "{\"origin\":\"e\",\"mark\":1,\"took\":0.1}";
    ByteArrayOutputStream acknowledgement = new ByteArrayOutputStream();
    for (String frame : List.of("/up/p1/answer", "12345678", "", "")) {
      acknowledgement.write(new byte[] {1, (byte) frame.length()});
      acknowledgement.write(frame.getBytes(StandardCharsets.US_ASCII));
    }
    acknowledgement.write(new byte[] {0, (byte) value.length()});
    acknowledgement.write(value.getBytes(StandardCharsets.US_ASCII));
    try (Socket socket = connect(server.port() + 2, "PUB")) {
      byte[] messages = repeat(acknowledgement.toByteArray(), 5_000);
      Thread writer = new Thread(() -> writeAll(socket, messages));
      writer.start();
      Thread.sleep(QUIET_MILLIS);
      int queued = handler.queued.get();
      assertTrue(queued > 0 && queued < 500, queued + " messages of one peer are queued");
    }
  }

  private static void writeAll(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      // The test has ended.
    }
  }

  /** The sound peer of the other tests: a PING is answered while nothing is wrong. */
  @Test
  void answersPing() throws Exception {
    try (Socket socket = connect(server.port(), "DEALER")) {
      socket.getOutputStream().write(command("PING", new byte[] {0, 0, 'c'}));
      byte[] pong = command("PONG", "c");
      byte[] received = new byte[64 + 2 + 1 + 5 + 1 + 11 + 4 + 6 + pong.length];
      socket.getInputStream().readNBytes(received, 0, received.length);
      byte[] end = Arrays.copyOfRange(received, received.length - pong.length, received.length);
      assertEquals(HexFormat.of().formatHex(pong), HexFormat.of().formatHex(end));
    }
  }
}
