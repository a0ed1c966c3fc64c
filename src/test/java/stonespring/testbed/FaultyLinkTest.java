package stonespring.testbed;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FaultyLinkTest {
  private static final int WAIT = 10_000; // ms; an upper bound, every wait ends with its event
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket far;
  private FaultyLink link;
  private Socket near;
  private Socket farEnd;

  @BeforeEach
  void start() throws Exception {
    far = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    link = new FaultyLink((EventLoop) loops.next(), (listener, pair, down, bytes) -> {});
    near = dial(link.addListener(far.getLocalPort()));
  }

  private Socket dial(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(WAIT);
    farEnd = far.accept();
    farEnd.setSoTimeout(WAIT);
    return socket;
  }

  @AfterEach
  void stop() throws IOException {
    link.close();
    near.close();
    far.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void awaitLink() throws InterruptedException {
    loops.next().submit(() -> {}).sync(); // the link's event loop has run what was queued
  }

  @Test
  void passesBytesBothWaysOneAtATime() throws Exception {
    link.setByteByByte(true);
    awaitLink();
    near.getOutputStream().write("to the far end".getBytes());
    assertArrayEquals("to the far end".getBytes(), farEnd.getInputStream().readNBytes(14));
    farEnd.getOutputStream().write("and back".getBytes());
    assertArrayEquals("and back".getBytes(), near.getInputStream().readNBytes(8));
  }

  @Test
  void cutsAfterTheStatedByte() throws Exception {
    link.closeConnectionAfter(0, 5);
    awaitLink();
    farEnd.getOutputStream().write("0123456789".getBytes());
    InputStream in = near.getInputStream();
    assertArrayEquals("01234".getBytes(), in.readNBytes(5));
    assertEquals(-1, in.read());
  }

  @Test
  void passesFrozenBytesLater() throws Exception {
    link.setFrozen(true);
    awaitLink();
    farEnd.getOutputStream().write("late".getBytes());
    near.setSoTimeout(50);
    try {
      near.getInputStream().read();
      throw new AssertionError("it passed through a frozen link");
    } catch (SocketTimeoutException e) {
      // as it should be
    }
    near.setSoTimeout(WAIT);
    link.setFrozen(false);
    assertArrayEquals("late".getBytes(), near.getInputStream().readNBytes(4));
  }

  @Test
  void halfCloseLeavesTheOtherDirectionOpen() throws Exception {
    link.halfClose(0);
    assertEquals(-1, near.getInputStream().read());
    near.getOutputStream().write("still".getBytes());
    assertArrayEquals("still".getBytes(), farEnd.getInputStream().readNBytes(5));
  }

  @Test
  void cutEndsConnectionsAndRefusesNewOnes() throws Exception {
    link.closeConnections(true);
    assertEquals(-1, near.getInputStream().read());
    awaitLink();
    try (Socket again = new Socket(InetAddress.getLoopbackAddress(), near.getPort())) {
      again.setSoTimeout(WAIT);
      assertTrue(ends(again));
    }
  }

  private static boolean ends(Socket socket) {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true; // a reset is an end too
    }
  }
}
