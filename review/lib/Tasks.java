package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The tasks: each listens on loopback, answers "REQ id" with "OK id" after a few milliseconds. A task
 * that was stopped accepts nothing.
 */
final class Tasks {
  private final Record record;
  private final Map<String, ServerSocket> servers = new ConcurrentHashMap<>();
  private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

  Tasks(Record record) {
    this.record = record;
  }

  /** Starts a task and returns its address as HOST:PORT. */
  String start(String host) throws IOException {
    ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    servers.put(host, server);
    addresses.put(host, new InetSocketAddress("127.0.0.1", server.getLocalPort()));
    Threads.start("task " + host, () -> {
      while (true) {
        Socket connection = server.accept();
        Threads.start("task " + host, () -> answer(host, connection));
      }
    });
    return "127.0.0.1:" + server.getLocalPort();
  }

  void stop(String host) throws IOException {
    servers.remove(host).close();
  }

  private void answer(String host, Socket connection) throws IOException {
    try (connection) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      String line = in.readLine();
      if (line != null) {
        Threads.sleep(10);
        record.line("task " + host + " ran " + line);
        connection.getOutputStream().write(("OK " + line + "\r\n").getBytes(StandardCharsets.US_ASCII));
      }
    }
  }

  /** Sends a request and waits for the answer; returns whether it was answered. */
  boolean call(String host, String request) {
    try (Socket socket = new Socket()) {
      socket.connect(addresses.get(host), 250);
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write((request + "\r\n").getBytes(StandardCharsets.US_ASCII));
      BufferedReader in =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      return in.readLine() != null;
    } catch (IOException e) {
      return false;
    }
  }
}
