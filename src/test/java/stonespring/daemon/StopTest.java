package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

final class StopTest {
  private static final int KEYS =
      7_000; // 7 MB: more than two sockets' buffers hold, less than a peer may leave unread

  /** Answers every ask with a large snapshot, at once. */
  private static final class Large implements ProxyMessageHandler {
    private final CountDownLatch asked = new CountDownLatch(1);

    @Override
    public boolean hello(String proxy, ProxyHello hello, long holds, ProxyConnection from) {
      return true;
    }

    @Override
    public boolean reported(String proxy, ProxyReport report, ProxyConnection from) {
      return true;
    }

    @Override
    public boolean acknowledged(
        String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection from) {
      return true;
    }

    @Override
    public boolean snapshot(String subtree, Consumer<KeySnapshot> receiver) {
      List<KeyUpdate> keys = new ArrayList<>();
      for (int i = 0; i < KEYS; i++) {
        keys.add(new KeyUpdate("/x/" + i, i + 1, new byte[1000]));
      }
      receiver.accept(new KeySnapshot(keys, KEYS));
      asked.countDown();
      return true;
    }

    @Override
    public void connectionClosed(ProxyConnection from) {}
  }

  private static byte[] hex(String hex) {
    return java.util.HexFormat.of().parseHex(hex.replace(" ", ""));
  }

  /**
   * A stop that comes while a snapshot is being written lets it end: the reader gets every key and
   * the last word.
   */
  @Test
  void aStopDuringASnapshotLetsItEnd() throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Large large = new Large();
    ChpServer server =
        new ChpServer(
            loops, ZmtpLimits.USUAL, new ChpProxyApi(large, new NameTable(List.of(), List.of())));
    server.start("127.0.0.1", 0);
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(1 << 16);
      socket.connect(new java.net.InetSocketAddress("127.0.0.1", server.port()));
      socket.setSoTimeout(10_000);
      DataInputStream in =
          new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
      socket
          .getOutputStream()
          .write(
              hex(
                  "FF 0000000000000000 7F 03 01 4E554C4C 00000000000000000000000000000000 00"
                      + "00".repeat(31)
                      + "04 1C 05 5245414459 0B 536F636B65742D54797065 00000006 4445414C4552"));
      socket.getOutputStream().write(new byte[] {1, 8});
      socket.getOutputStream().write("ICANHAZ?".getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[] {0, 3, '/', 'x', '/'});
      large.asked.await(10, TimeUnit.SECONDS);
      Thread stop =
          new Thread(
              () -> {
                try {
                  server.stop(5_000);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      stop.start();
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
      assertEquals(KEYS, keys);
      stop.join(10_000);
      assertTrue(!stop.isAlive());
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  @Test
  void aPortThatIsTakenIsNamed() throws Exception {
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket taken = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
      ChpServer server =
          new ChpServer(
              loops,
              ZmtpLimits.USUAL,
              new ChpProxyApi(new Large(), new NameTable(List.of(), List.of())));
      IOException e =
          assertThrows(IOException.class, () -> server.start("127.0.0.1", taken.getLocalPort()));
      assertTrue(e.getMessage().contains(String.valueOf(taken.getLocalPort())), e.getMessage());
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
