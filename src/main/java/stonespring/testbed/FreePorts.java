package stonespring.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Hands out ports that stay free while their user restarts. They lie below the range that operating
 * systems use for outgoing connections. A process reserves whole blocks by listening at each
 * block's first port, so that two processes never compete for one. Each port is handed out once.
 */
final class FreePorts {
  private static final int FIRST_PORT = 11_000;
  private static final int PORTS_PER_BLOCK = 250;
  private static final int BLOCK_COUNT = 80;
  private static final List<ServerSocket> RESERVATIONS = new ArrayList<>();
  private static int nextPort;
  private static int blockEndPort;

  private FreePorts() {}

  /** Returns the first of {@code count} free ports in a row. */
  static synchronized int take(int count) throws IOException {
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
        // Another process holds this block.
      }
    }
    throw new IOException("no block of free ports is left from " + FIRST_PORT + " on");
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
