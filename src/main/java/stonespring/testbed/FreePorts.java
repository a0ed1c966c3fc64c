package stonespring.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports for what is killed and started again at the same one: taken from below the range that
 * systems give to outgoing connections, where a port that is free for a second is soon somebody's.
 * A process holds whole blocks of them by listening at each block's first port, so that two
 * processes never wait for each other's ports. Each is given once.
 */
final class FreePorts {
  private static final int FIRST = 11_000;
  private static final int BLOCK = 250;
  private static final int BLOCKS = 80;
  private static final List<ServerSocket> HELD = new ArrayList<>();
  private static int next;
  private static int end;

  private FreePorts() {}

  /** The first of so many free ports in a row. */
  static synchronized int take(int count) throws IOException {
    while (true) {
      int free = 0;
      while (free < count && next + free < end && isFree(next + free)) {
        free++;
      }
      int first = next;
      next += free + 1;
      if (free == count) {
        next--;
        return first;
      }
      if (next + count > end) {
        block(count);
      }
    }
  }

  private static void block(int count) throws IOException {
    for (int i = 0; i < BLOCKS && count < BLOCK; i++) {
      int first = FIRST + i * BLOCK;
      try {
        HELD.add(new ServerSocket(first, 1, InetAddress.getLoopbackAddress()));
        next = first + 1;
        end = first + BLOCK;
        return;
      } catch (IOException e) {
        // another process holds it
      }
    }
    throw new IOException("no block of free ports is left from " + FIRST + " on");
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
