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
  /** Upper bound of a read that would block forever; a passing test never reaches it. */
  private static final int TIMEOUT_MILLIS = 10_000;

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket upstreamServer;
  private FaultyLink link;
  private Socket downstreamSocket;
  private Socket upstreamSocket;

  @BeforeEach
  void start() throws Exception {
    upstreamServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    link =
        new FaultyLink(
            (EventLoop) loops.next(), (listener, connection, towardsDownstream, bytes) -> {});
    downstreamSocket = connect(link.addListener(upstreamServer.getLocalPort()));
  }

  private Socket connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    upstreamSocket = upstreamServer.accept();
    upstreamSocket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  @AfterEach
  void stop() throws IOException {
    link.close();
    downstreamSocket.close();
    upstreamServer.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void awaitQueuedLinkCommands() throws InterruptedException {
    loops.next().submit(() -> {}).sync(); // runs after all commands queued on the event loop
  }

  @Test
  void passesAllBytesInBothDirectionsWhenPassingByteByByte() throws Exception {
    link.setByteByByte(true);
    awaitQueuedLinkCommands();
    downstreamSocket.getOutputStream().write("to the far end".getBytes());
    assertArrayEquals("to the far end".getBytes(), upstreamSocket.getInputStream().readNBytes(14));
    upstreamSocket.getOutputStream().write("and back".getBytes());
    assertArrayEquals("and back".getBytes(), downstreamSocket.getInputStream().readNBytes(8));
  }

  @Test
  void closesConnectionAfterStatedNumberOfBytes() throws Exception {
    link.closeConnectionAfter(0, 5);
    awaitQueuedLinkCommands();
    upstreamSocket.getOutputStream().write("0123456789".getBytes());
    InputStream in = downstreamSocket.getInputStream();
    assertArrayEquals("01234".getBytes(), in.readNBytes(5));
    assertEquals(-1, in.read());
  }

  @Test
  void holdsBytesWhileFrozenAndPassesThemOnAfterwards() throws Exception {
    link.setFrozen(true);
    awaitQueuedLinkCommands();
    upstreamSocket.getOutputStream().write("late".getBytes());
    downstreamSocket.setSoTimeout(50);
    try {
      downstreamSocket.getInputStream().read();
      throw new AssertionError("the read through the frozen link returned instead of timing out");
    } catch (SocketTimeoutException e) {
      // Expected: the frozen link holds the bytes back.
    }
    downstreamSocket.setSoTimeout(TIMEOUT_MILLIS);
    link.setFrozen(false);
    assertArrayEquals("late".getBytes(), downstreamSocket.getInputStream().readNBytes(4));
  }

  @Test
  void leavesUpstreamDirectionOpenAfterHalfClose() throws Exception {
    link.halfClose(0);
    assertEquals(-1, downstreamSocket.getInputStream().read());
    downstreamSocket.getOutputStream().write("still".getBytes());
    assertArrayEquals("still".getBytes(), upstreamSocket.getInputStream().readNBytes(5));
  }

  @Test
  void closesOpenConnectionsAndRefusesNewOnesWhenAsked() throws Exception {
    link.closeConnections(true);
    assertEquals(-1, downstreamSocket.getInputStream().read());
    awaitQueuedLinkCommands();
    try (Socket newSocket =
        new Socket(InetAddress.getLoopbackAddress(), downstreamSocket.getPort())) {
      newSocket.setSoTimeout(TIMEOUT_MILLIS);
      assertTrue(isClosed(newSocket));
    }
  }

  private static boolean isClosed(Socket socket) {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true; // a reset closes the connection too
    }
  }
}
