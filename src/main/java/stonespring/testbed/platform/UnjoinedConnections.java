package stonespring.testbed.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Connections that never join. Each is owed a refusal or a close within a time limit from its
 * connecting. Confined to the run's thread.
 */
final class UnjoinedConnections {
  private static final long LIMIT_MILLIS = 3_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private static final List<String> FIRST_BYTES =
      List.of(
          "",
          "SUBSCR",
          "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
          "\u0001\u0002\r\n",
          "SUBSCRIBE id=9999 site=west rps=1 new=1\r\n",
          "SOURCE site=nowhere\r\n",
          "CONFIG rows=e-0:1\r\n",
          "LOAD site=west target=e-0 count=1 fail=0 mean=1 over=1\r\n");

  private record Opened(Socket socket, String firstBytes, long atNanos) {}

  private final int port;
  private final SoakLog log;
  private final List<Opened> opened = new ArrayList<>();

  UnjoinedConnections(int port, SoakLog log) {
    this.port = port;
    this.log = log;
  }

  /** Opens connections, each with first bytes of a random kind. */
  void open(int count, Random random) {
    for (int i = 0; i < count; i++) {
      String firstBytes = FIRST_BYTES.get(random.nextInt(FIRST_BYTES.size()));
      Socket socket = new Socket();
      try {
        socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
        long now = System.nanoTime();
        socket.getOutputStream().write(firstBytes.getBytes(StandardCharsets.US_ASCII));
        opened.add(new Opened(socket, firstBytes, now));
      } catch (IOException e) {
        Sockets.closeQuietly(socket); // closed already, which is an answer
      }
    }
  }

  /** Checks and closes the connections whose time limit has passed. */
  void checkOverdue() {
    long now = System.nanoTime();
    for (Opened connection : List.copyOf(opened)) {
      if (now - connection.atNanos() > TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS)) {
        opened.remove(connection);
        if (!isAnswered(connection.socket())) {
          log.addViolation(
              "a connection that did not join was neither refused nor closed within "
                  + LIMIT_MILLIS
                  + " ms; first bytes: '"
                  + connection.firstBytes().strip()
                  + "'");
        }
        Sockets.closeQuietly(connection.socket());
      }
    }
  }

  private static boolean isAnswered(Socket socket) {
    try {
      socket.setSoTimeout(1);
      socket.getInputStream().read(); // a byte of the refusal, or the end of the stream
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true; // reset
    }
  }

  /** Closes all connections without a check, since the instance ends. */
  void closeAll() {
    opened.forEach(connection -> Sockets.closeQuietly(connection.socket()));
    opened.clear();
  }
}
