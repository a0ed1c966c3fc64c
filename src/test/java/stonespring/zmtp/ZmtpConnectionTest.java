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
import stonespring.netty.IncomingLimits;
import stonespring.netty.IncomingMessages;

/** Tests a publisher against raw sockets that write the protocol's bytes as specified. */
final class ZmtpConnectionTest {
  /** Upper bound only: each wait ends as soon as the expected event happens. */
  private static final int TIMEOUT_MILLIS = 10_000;

  private static final ZmtpLimits LIMITS = new ZmtpLimits(1000, 2000, 8, 1 << 16, 2, 300, 2);
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<ZmtpConnection> openedConnections = new LinkedBlockingQueue<>();
  private Channel serverChannel;

  @BeforeEach
  void startPublisher() throws InterruptedException {
    serverChannel =
        ZmtpSockets.listen(
                loops,
                SocketType.PUB,
                new InetSocketAddress("127.0.0.1", 0),
                LIMITS,
                new ZmtpListener() {
                  @Override
                  public void connectionOpened(ZmtpConnection connection) {
                    openedConnections.add(connection);
                  }

                  @Override
                  public void subscriptionChanged(
                      ZmtpConnection connection, byte[] prefix, boolean subscribed) {
                    events.add(
                        (subscribed ? "+" : "-") + new String(prefix, StandardCharsets.US_ASCII));
                    if (prefix.length == 4) {
                      throw new IllegalStateException("thrown by the listener of the test");
                    }
                  }

                  @Override
                  public void connectionClosed(ZmtpConnection connection) {
                    events.add("closed");
                  }
                },
                new IncomingMessages(IncomingLimits.ofThisProcess()))
            .sync()
            .channel();
  }

  @AfterEach
  void stopPublisher() {
    serverChannel.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text.replace(" ", ""));
  }

  private static final String GREETING = "FF 0000000000000000 7F 03 %s 4E554C4C " + "00".repeat(48);
  private static final String READY_SUB =
      "04 19 05 5245414459 0B 536F636B65742D54797065 00000003 535542";

  private Socket connect(String minorVersionHex) throws IOException {
    Socket socket =
        new Socket("127.0.0.1", ((InetSocketAddress) serverChannel.localAddress()).getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.getOutputStream().write(hex(String.format(GREETING, minorVersionHex)));
    return socket;
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Test
  void acceptsSubscriptionsOfBothVersionsAndAnswersPing() throws Exception {
    try (Socket socket = connect("01")) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] greeting = new byte[64];
      in.readFully(greeting);
      assertArrayEquals(
          hex("FF 0000000000000000 7F 03 01 4E554C4C"), java.util.Arrays.copyOf(greeting, 16));
      assertEquals(1, greeting[32], "the as-server flag is set");
      socket.getOutputStream().write(hex(READY_SUB));
      byte[] ready = new byte[hex(READY_SUB).length];
      in.readFully(ready);
      assertArrayEquals(hex(READY_SUB.replace("535542", "505542")), ready);
      // Common libraries send a subscription as a command to a 3.1 peer, and as a message to a 3.0
      // peer.
      socket.getOutputStream().write(hex("04 13 09 535542534352494245 2F70726F78792F312F"));
      assertEquals("+/proxy/1/", nextEvent());
      socket.getOutputStream().write(hex("00 0A 01 2F70726F78792F312F"));
      assertEquals("+/proxy/1/", nextEvent());
      socket.getOutputStream().write(hex("00 0A 00 2F70726F78792F312F"));
      assertEquals("-/proxy/1/", nextEvent());
      socket.getOutputStream().write(hex("04 10 06 43414E43454C 2F70726F78792F312F"));
      assertEquals("-/proxy/1/", nextEvent());
      socket
          .getOutputStream()
          .write(hex("04 0A 04 50494E47 000A 636F6E")); // TTL of 1 s, context "con"
      byte[] pong = new byte[10];
      in.readFully(pong);
      assertArrayEquals(hex("04 08 04 504F4E47 636F6E"), pong);
      openedConnections
          .poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          .writeMessageAndFlush(List.of(new byte[] {'a'}, new byte[300]));
      byte[] message = new byte[3 + 9 + 300];
      in.readFully(message);
      assertArrayEquals(hex("01 01 61 02 000000000000012C"), java.util.Arrays.copyOf(message, 12));
    }
    assertEquals("closed", nextEvent());
  }

  @Test
  void completesHandshakeWhenBytesArriveOneByOne() throws Exception {
    try (Socket socket = connect("00")) {
      for (byte b : hex(READY_SUB)) {
        socket.getOutputStream().write(b);
      }
      socket.getOutputStream().write(hex("00 01 01"));
      assertEquals("+", nextEvent());
    }
  }

  private static void awaitClosed(Socket socket) throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // ignores what was sent before the close
      }
    } catch (java.net.SocketTimeoutException e) {
      throw new AssertionError("the connection was not closed within the timeout", e);
    } catch (IOException e) {
      // a connection reset counts as closed
    }
  }

  @Test
  void closesConnectionWhenHandshakeTimesOut() throws Exception {
    try (Socket socket =
        new Socket("127.0.0.1", ((InetSocketAddress) serverChannel.localAddress()).getPort())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(hex("FF 0000000000000000 7F 03"));
      awaitClosed(socket);
    }
    assertEquals("closed", nextEvent());
  }

  @Test
  void closesOnlyTheOffendingConnectionWhenLimitIsExceededOrListenerThrows() throws Exception {
    try (Socket healthy = connect("00");
        Socket failing = connect("00");
        Socket overLimit = connect("00")) {
      awaitClosed(overLimit); // one connection over the limit
      healthy.getOutputStream().write(hex(READY_SUB));
      failing.getOutputStream().write(hex(READY_SUB + "00 05 01 626F6F6D"));
      assertEquals("+boom", nextEvent());
      awaitClosed(failing);
      assertEquals("closed", nextEvent());
      healthy.getOutputStream().write(hex("00 02 01 61 00 02 01 62"));
      assertEquals("+a", nextEvent());
      assertEquals("+b", nextEvent());
      healthy.getOutputStream().write(hex("00 02 01 63"));
      awaitClosed(healthy); // one subscription over the limit
    }
  }

  /** Messages must not be dropped in mid-stream, so the connection is closed instead. */
  @Test
  void closesConnectionWhenPeerNeverReads() throws Exception {
    try (Socket socket = connect("00")) {
      socket.getOutputStream().write(hex(READY_SUB));
      ZmtpConnection connection = openedConnections.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      for (int i = 0; i < 1_000_000 && connection.channel().isOpen(); i++) {
        connection.writeMessage(List.of(new byte[1000]));
        if (i % 100 == 0) {
          connection.flush();
        }
      }
      assertEquals("closed", nextEvent());
    }
  }
}
