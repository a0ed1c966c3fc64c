package stonespring.testbed.platform;

import java.io.IOException;
import java.net.Socket;

/** Operations on the sockets of stand-ins. */
final class Sockets {
  private Sockets() {}

  /** Closes a socket that is of no further use, whether or not closing it fails. */
  static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is of no further use either way.
    }
  }
}
