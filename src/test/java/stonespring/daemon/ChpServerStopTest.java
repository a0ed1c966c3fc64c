package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import stonespring.chp.ChpServer;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.ProxyConnection;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.proxyapi.chp.ChpProxyApi;
import stonespring.state.KeySnapshot;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;
import stonespring.zmtp.ZmtpLimits;

/** Tests the start and stop of a CHP server. */
final class ChpServerStopTest {
  /**
   * Number of keys of 1000 bytes in a snapshot of 7 MB. That is more than the buffers of both
   * sockets hold, and less than the server queues for a peer that does not read.
   */
  private static final int KEY_COUNT = 7_000;

  private static final int TIMEOUT_MILLIS = 10_000;

  /** A ZMTP greeting without security, and the READY command of a DEALER socket. */
  private static final String GREETING_AND_READY =
      "FF 0000000000000000 7F 03 01 4E554C4C 00000000000000000000000000000000 00"
          + "00".repeat(31)
          + "04 1C 05 5245414459 0B 536F636B65742D54797065 00000006 4445414C4552";

  /** Answers each snapshot request immediately with a large snapshot. */
  private static final class LargeSnapshotHandler implements ProxyMessageHandler {
    private final CountDownLatch snapshotSent = new CountDownLatch(1);

    @Override
    public boolean handleHello(
        String proxy, ProxyHello hello, long sessionTimeoutDeciMillis, ProxyConnection connection) {
      return true;
    }

    @Override
    public boolean handleReport(String proxy, ProxyReport report, ProxyConnection connection) {
      return true;
    }

    @Override
    public boolean handleAcknowledgement(
        String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection connection) {
      return true;
    }

    @Override
    public boolean requestSnapshot(String subtree, Consumer<KeySnapshot> receiver) {
      List<KeyUpdate> keys = new ArrayList<>();
      for (int i = 0; i < KEY_COUNT; i++) {
        keys.add(new KeyUpdate("/x/" + i, i + 1, new byte[1000]));
      }
      receiver.accept(new KeySnapshot(keys, KEY_COUNT));
      snapshotSent.countDown();
      return true;
    }

    @Override
    public void handleConnectionClosed(ProxyConnection connection) {}
  }

  private static byte[] hex(String digits) {
    return HexFormat.of().parseHex(digits.replace(" ", ""));
  }

  /**
   * The client receives every key and the command that ends the snapshot, although the stop begins
   * while the snapshot is being sent.
   */
  @Test
  void sendsPendingSnapshotCompletelyWhenStopped() throws Exception {
    MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    LargeSnapshotHandler handler = new LargeSnapshotHandler();
    ChpServer server =
        new ChpServer(
            eventLoops,
            ZmtpLimits.DEFAULT,
            new ChpProxyApi(handler, new NameTable(List.of(), List.of())));
    server.start("127.0.0.1", 0);
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(1 << 16);
      socket.connect(new InetSocketAddress("127.0.0.1", server.port()));
      socket.setSoTimeout(TIMEOUT_MILLIS);
      DataInputStream in =
          new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
      socket.getOutputStream().write(hex(GREETING_AND_READY));
      socket.getOutputStream().write(new byte[] {1, 8});
      socket.getOutputStream().write("ICANHAZ?".getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[] {0, 3, '/', 'x', '/'});
      handler.snapshotSent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      Thread stop = new Thread(() -> stop(server));
      stop.start();
      assertEquals(KEY_COUNT, readSnapshot(in));
      stop.join(TIMEOUT_MILLIS);
      assertTrue(!stop.isAlive());
    } finally {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void stop(ChpServer server) {
    try {
      server.stop(5_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads a greeting and all frames of a snapshot; returns the number of keys. */
  private static int readSnapshot(DataInputStream in) throws IOException {
    in.readFully(new byte[64]);
    int keys = 0;
    boolean ended = false;
    while (!ended) {
      int flags = in.readUnsignedByte();
      byte[] body = new byte[(flags & 2) != 0 ? (int) in.readLong() : in.readUnsignedByte()];
      in.readFully(body);
      String text = new String(body, StandardCharsets.ISO_8859_1);
      keys += text.startsWith("/x/") && text.length() > 3 ? 1 : 0;
      ended = text.equals("KTHXBAI");
    }
    return keys;
  }

  @Test
  void reportsPortThatIsInUseWhenStarted() throws Exception {
    MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket inUse = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      ChpServer server =
          new ChpServer(
              eventLoops,
              ZmtpLimits.DEFAULT,
              new ChpProxyApi(new LargeSnapshotHandler(), new NameTable(List.of(), List.of())));
      IOException e =
          assertThrows(IOException.class, () -> server.start("127.0.0.1", inUse.getLocalPort()));
      assertTrue(e.getMessage().contains(String.valueOf(inUse.getLocalPort())), e.getMessage());
    } finally {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
