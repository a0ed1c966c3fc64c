package stonespring.testbed.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's discovery server: it answers fetches and watches of the endpoint list, on a thread
 * for each connection. Thread-safe.
 */
final class DiscoveryStandIn implements AutoCloseable {
  private static final Pattern REQUEST =
      Pattern.compile("GET /registry/instances(?:\\?stream=1&index=(\\d+))? HTTP/1\\.1");
  private static final int BACKLOG = 50;
  private static final long KEEP_ALIVE_MILLIS = 2_000;

  private final EndpointRoster roster;
  private final NotifiedStates notifiedStates;
  private final ServerSocket server;
  private final List<Socket> connections = new ArrayList<>();
  private volatile boolean failing;

  DiscoveryStandIn(EndpointRoster roster, NotifiedStates notifiedStates) throws IOException {
    this.roster = roster;
    this.notifiedStates = notifiedStates;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    startThread(this::acceptConnections);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Makes the server answer each request with 503, or not. */
  void setFailing(boolean on) {
    failing = on;
  }

  /** Closes all open connections. */
  void resetConnections() {
    synchronized (connections) {
      connections.forEach(Sockets::closeQuietly);
      connections.clear();
    }
  }

  /** Accepts no new connections; open ones stay. */
  void stopAccepting() {
    try {
      server.close();
    } catch (IOException e) {
      throw new IllegalStateException("listening socket can't be closed", e);
    }
  }

  @Override
  public void close() {
    stopAccepting();
    resetConnections();
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action, "discovery");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket connection = server.accept();
        synchronized (connections) {
          connections.add(connection);
        }
        startThread(() -> serve(connection));
      }
    } catch (IOException e) {
      // The listening socket was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      answer(connection);
    } catch (IOException e) {
      // The instance closed the connection, or the run resets it.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answer(Socket connection) throws IOException, InterruptedException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    String requestLine = reader.readLine();
    for (String line = requestLine; line != null && !line.isEmpty(); line = reader.readLine()) {
      // Skips the headers.
    }
    if (requestLine == null) {
      return;
    }
    Matcher request = REQUEST.matcher(requestLine);
    OutputStream out = connection.getOutputStream();
    if (!request.matches()) {
      write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    } else if (failing) {
      write(out, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    } else if (request.group(1) == null) {
      writeWholeList(out);
    } else {
      watch(out, Long.parseLong(request.group(1)));
    }
  }

  private void writeWholeList(OutputStream out) throws IOException {
    long version = roster.version(); // read first: entries may be newer, but never older
    List<EndpointRoster.Entry> shown = roster.listed();
    String body = EndpointRoster.toJson(version, true, shown) + "\n";
    write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    notifiedStates.record(shown);
    notifiedStates.record(roster.removed());
  }

  private void watch(OutputStream out, long knownVersion) throws IOException, InterruptedException {
    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    long sentVersion = knownVersion;
    boolean first = true;
    while (true) {
      long version = roster.version();
      if (version > sentVersion || first) {
        List<EndpointRoster.Entry> changes = roster.changesSince(sentVersion);
        writeChunk(out, EndpointRoster.toJson(version, false, changes) + "\n");
        notifiedStates.record(changes);
        sentVersion = version;
        first = false;
      } else {
        writeChunk(out, "\n");
      }
      roster.awaitNewer(sentVersion, KEEP_ALIVE_MILLIS);
    }
  }

  private static void writeChunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
