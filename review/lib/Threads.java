package review;

import java.io.IOException;
import java.net.Socket;

/** Small helpers for threads and sockets. */
final class Threads {
  interface Action {
    void run() throws Exception;
  }

  private Threads() {}

  static void start(String name, Action action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (Exception e) {
                if (!(e instanceof IOException)) {
                  e.printStackTrace();
                }
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Closes a connection with a reset, as a process that dies does. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // closed already
    }
  }
}
