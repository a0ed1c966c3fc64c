package stonespring.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Hands out loopback ports that stay free while the server that uses them restarts. They lie below
 * the range that operating systems assign to outgoing connections. A process reserves a whole block
 * of ports by listening at the block's first port, so that two processes never use the same one.
 * Each port is handed out once. Thread-safe.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 11_000;
  private static final int PORTS_PER_BLOCK = 250;
  private static final int BLOCK_COUNT = 80;
  private static final List<ServerSocket> RESERVATIONS = new ArrayList<>();

  /** The next port of the current block to hand out; the block ends before {@code blockEndPort}. */
  private static int nextPort;

  private static int blockEndPort;

  private FreePorts() {}

  /**
   * Returns the first of {@code count} consecutive free ports.
   *
   * @throws IOException if no block is left, or a block is too small for {@code count} ports
   */
  public static synchronized int take(int count) throws IOException {
    while (true) {
      int freeCount = 0;
      while (freeCount < count
          && nextPort + freeCount < blockEndPort
          && isFree(nextPort + freeCount)) {
        freeCount++;
      }
      int firstPort = nextPort;
      nextPort += freeCount + 1;
      if (freeCount == count) {
        nextPort--;
        return firstPort;
      }
      if (nextPort + count > blockEndPort) {
        reserveBlock(count);
      }
    }
  }

  private static void reserveBlock(int count) throws IOException {
    for (int i = 0; i < BLOCK_COUNT && count < PORTS_PER_BLOCK; i++) {
      int firstPort = FIRST_PORT + i * PORTS_PER_BLOCK;
      try {
        RESERVATIONS.add(new ServerSocket(firstPort, 1, InetAddress.getLoopbackAddress()));
        nextPort = firstPort + 1;
        blockEndPort = firstPort + PORTS_PER_BLOCK;
        return;
      } catch (IOException e) {
        // This block is already reserved, by this or another process.
      }
    }
    throw new IOException(
        "cannot reserve "
            + count
            + " consecutive ports: no free block of "
            + PORTS_PER_BLOCK
            + " ports is left from port "
            + FIRST_PORT
            + " on");
  }

  private static boolean isFree(int port) {
    try (ServerSocket probe = new ServerSocket()) {
      probe.setReuseAddress(true);
      probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
