package stonespring.zmtp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A publisher met by peers that speak the protocol byte for byte as its specification has it. */
final class ZmtpPeerTest {
  private static final int WAIT = 10_000; // ms; an upper bound, every wait ends with its event
  private static final ZmtpLimits LIMITS = new ZmtpLimits(1000, 2000, 8, 1 << 16, 2, 300, 2);
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<ZmtpPeer> peers = new LinkedBlockingQueue<>();
  private Channel listener;

  @BeforeEach
  void start() throws InterruptedException {
    listener =
        ZmtpSockets.listen(
                loops,
                SocketType.PUB,
                new InetSocketAddress("127.0.0.1", 0),
                LIMITS,
                new ZmtpEvents() {
                  @Override
                  public void opened(ZmtpPeer peer) {
                    peers.add(peer);
                  }

                  @Override
                  public void subscription(ZmtpPeer peer, byte[] prefix, boolean on) {
                    heard.add((on ? "+" : "-") + new String(prefix, StandardCharsets.US_ASCII));
                    if (prefix.length == 4) {
                      throw new IllegalStateException("a handler that fails");
                    }
                  }

                  @Override
                  public void closed(ZmtpPeer peer) {
                    heard.add("closed");
                  }
                })
            .sync()
            .channel();
  }

  @AfterEach
  void stop() {
    listener.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text.replace(" ", ""));
  }

  private static final String GREETING = "FF 0000000000000000 7F 03 %s 4E554C4C " + "00".repeat(48);
  private static final String READY_SUB =
      "04 19 05 5245414459 0B 536F636B65742D54797065 00000003 535542";

  private Socket dial(String minor) throws IOException {
    Socket socket =
        new Socket("127.0.0.1", ((InetSocketAddress) listener.localAddress()).getPort());
    socket.setSoTimeout(WAIT);
    socket.getOutputStream().write(hex(String.format(GREETING, minor)));
    return socket;
  }

  private String next() throws InterruptedException {
    return heard.poll(WAIT, TimeUnit.MILLISECONDS);
  }

  @Test
  void theGreetingSubscriptionsInBothFormsAndPing() throws Exception {
    try (Socket socket = dial("01")) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] greeting = new byte[64];
      in.readFully(greeting);
      assertArrayEquals(
          hex("FF 0000000000000000 7F 03 01 4E554C4C"), java.util.Arrays.copyOf(greeting, 16));
      assertEquals(1, greeting[32], "as a server");
      socket.getOutputStream().write(hex(READY_SUB));
      byte[] ready = new byte[hex(READY_SUB).length];
      in.readFully(ready);
      assertArrayEquals(hex(READY_SUB.replace("535542", "505542")), ready);
      // As seen from a widely used library: a command to a 3.1 peer, a message to a 3.0 peer.
      socket.getOutputStream().write(hex("04 13 09 535542534352494245 2F70726F78792F312F"));
      assertEquals("+/proxy/1/", next());
      socket.getOutputStream().write(hex("00 0A 01 2F70726F78792F312F"));
      assertEquals("+/proxy/1/", next());
      socket.getOutputStream().write(hex("00 0A 00 2F70726F78792F312F"));
      assertEquals("-/proxy/1/", next());
      socket.getOutputStream().write(hex("04 10 06 43414E43454C 2F70726F78792F312F"));
      assertEquals("-/proxy/1/", next());
      socket
          .getOutputStream()
          .write(hex("04 0A 04 50494E47 000A 636F6E")); // a TTL of 1 s and a context
      byte[] pong = new byte[10];
      in.readFully(pong);
      assertArrayEquals(hex("04 08 04 504F4E47 636F6E"), pong);
      peers.poll(WAIT, TimeUnit.MILLISECONDS).sendNow(List.of(new byte[] {'a'}, new byte[300]));
      byte[] message = new byte[3 + 9 + 300];
      in.readFully(message);
      assertArrayEquals(hex("01 01 61 02 000000000000012C"), java.util.Arrays.copyOf(message, 12));
    }
    assertEquals("closed", next());
  }

  @Test
  void aGreetingThatCreepsInByteByByte() throws Exception {
    try (Socket socket = dial("00")) {
      for (byte b : hex(READY_SUB)) {
        socket.getOutputStream().write(b);
      }
      socket.getOutputStream().write(hex("00 01 01"));
      assertEquals("+", next());
    }
  }

  private void ends(Socket socket) throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // what it says before the end does not matter here
      }
    } catch (java.net.SocketTimeoutException e) {
      throw new AssertionError("the connection still stands", e);
    } catch (IOException e) {
      // a reset is an end too
    }
  }

  @Test
  void halfAGreetingEndsWithTheHandshakesTime() throws Exception {
    try (Socket socket =
        new Socket("127.0.0.1", ((InetSocketAddress) listener.localAddress()).getPort())) {
      socket.setSoTimeout(WAIT);
      socket.getOutputStream().write(hex("FF 0000000000000000 7F 03"));
      ends(socket);
    }
    assertEquals("closed", next());
  }

  @Test
  void limitsAndAHandlerThatFailsEndOneConnectionOnly() throws Exception {
    try (Socket good = dial("00");
        Socket bad = dial("00");
        Socket third = dial("00")) {
      ends(third); // one over the most connections
      good.getOutputStream().write(hex(READY_SUB));
      bad.getOutputStream().write(hex(READY_SUB + "00 05 01 626F6F6D"));
      assertEquals("+boom", next());
      ends(bad);
      assertEquals("closed", next());
      good.getOutputStream().write(hex("00 02 01 61 00 02 01 62"));
      assertEquals("+a", next());
      assertEquals("+b", next());
      good.getOutputStream().write(hex("00 02 01 63"));
      ends(good); // one over the most subscriptions
    }
  }

  /** Nothing is left out of the middle: who does not read is cut off once too much waits for it. */
  @Test
  void aPeerThatNeverReadsIsCutOff() throws Exception {
    try (Socket socket = dial("00")) {
      socket.getOutputStream().write(hex(READY_SUB));
      ZmtpPeer peer = peers.poll(WAIT, TimeUnit.MILLISECONDS);
      for (int i = 0; i < 1_000_000 && peer.channel().isOpen(); i++) {
        peer.send(List.of(new byte[1000]));
        if (i % 100 == 0) {
          peer.flush();
        }
      }
      assertEquals("closed", next());
    }
  }
}
