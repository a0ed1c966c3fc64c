package stonespring.testbed.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A proxy of the platform. It connects, joins, applies orders, answers marks and reports its
 * requests until its connection ends, and then connects again. One thread reads, one reports;
 * methods may be called from any thread.
 */
final class ProxyStandIn {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MIN_RECONNECT_MILLIS = 50;
  private static final int MAX_RECONNECT_MILLIS = 300;
  private static final int REPORT_INTERVAL_MILLIS = 500;
  private static final int MAX_ACK_DELAY_MILLIS = 20;
  private static final int READ_BUFFER_BYTES = 4096;

  /** Receives what a proxy observes. Called on the proxy's threads. */
  interface Observer {
    /**
     * Called when a joined connection has ended.
     *
     * @param ownFault whether the proxy itself caused the end
     * @param partialLine bytes after the last complete line; empty if there are none
     * @param orderly whether the instance closed the connection without a reset
     */
    void connectionEnded(ProxyStandIn proxy, boolean ownFault, String partialLine, boolean orderly);

    /** Called for an order that a proxy can't use, which closes the connection. */
    void unusableOrder(ProxyStandIn proxy, String line, String reason);
  }

  private final int id;
  private final String zone;
  private final int port;
  private final List<String> requestClasses;
  private final Random random;
  private final HeldTables tables;
  private final Observer observer;

  /** Counts the threads that ran connections; only the latest one counts. */
  private final AtomicInteger generation = new AtomicInteger();

  private volatile Socket socket;
  private volatile boolean ownFault;
  private volatile boolean reading = true;
  private volatile boolean stopped;
  private volatile long joinedAtNanos;

  ProxyStandIn(
      int id, String zone, int port, List<String> requestClasses, long seed, Observer observer) {
    this.id = id;
    this.zone = zone;
    this.port = port;
    this.requestClasses = requestClasses;
    this.random = new Random(seed + id);
    this.tables = new HeldTables(requestClasses);
    this.observer = observer;
  }

  void start() {
    startThread(this::runConnections);
    startThread(this::sendReports);
  }

  private void startThread(Runnable action) {
    Thread thread = new Thread(action, "proxy " + id);
    thread.setDaemon(true);
    thread.start();
  }

  void stop() {
    stopped = true;
    closeConnection();
  }

  int id() {
    return id;
  }

  HeldTables tables() {
    return tables;
  }

  /** Returns whether the proxy has a joined connection and reads it. */
  boolean isFollowing() {
    return socket != null && reading && !ownFault;
  }

  /** Returns when the current connection joined, by {@link System#nanoTime}. */
  long joinedAtNanos() {
    return joinedAtNanos;
  }

  /** Closes the connection; the proxy connects again. */
  void closeConnection() {
    ownFault = true;
    Socket connection = socket;
    if (connection != null) {
      Sockets.closeQuietly(connection);
    }
  }

  /** Sends bytes that can't be read, which the instance answers by closing the connection. */
  void sendGarbage() {
    ownFault = true;
    send("NONSENSE \u0001");
  }

  /** Joins on a second connection before the first one has ended, and ignores the first. */
  void replaceConnection() {
    startThread(this::runConnections);
  }

  /** Stops or resumes reading. A proxy that does not read may be disconnected. */
  void setReading(boolean on) {
    if (!on) {
      ownFault = true;
    }
    reading = on;
  }

  /** Sends the first message of a connection; reports follow only after it. */
  private synchronized void join(Socket connection) {
    socket = connection;
    String withoutTables = tables.isEmpty() ? "1" : "0";
    send("SUBSCRIBE id=" + id + " site=" + zone + " rps=20 new=" + withoutTables);
  }

  private void runConnections() {
    int own = generation.incrementAndGet();
    try {
      while (isCurrent(own)) {
        runConnection(own);
        Thread.sleep(
            MIN_RECONNECT_MILLIS + random.nextInt(MAX_RECONNECT_MILLIS - MIN_RECONNECT_MILLIS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isCurrent(int connectionGeneration) {
    return !stopped && generation.get() == connectionGeneration;
  }

  private void runConnection(int own) throws InterruptedException {
    Socket connection = new Socket();
    StringBuilder received = new StringBuilder();
    boolean joined = false;
    boolean orderly = false;
    try (connection) {
      connection.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
      connection.setTcpNoDelay(true);
      if (!isCurrent(own)) {
        return;
      }
      ownFault = false;
      joinedAtNanos = System.nanoTime();
      join(connection);
      joined = true;
      readLines(connection.getInputStream(), received, own);
      orderly = true;
    } catch (IOException e) {
      // Refused or reset; the listener hears of it if the proxy had joined.
    }
    if (!isCurrent(own)) {
      return;
    }
    socket = null;
    if (joined) {
      observer.connectionEnded(this, ownFault, received.toString(), orderly);
    }
  }

  /** Handles lines up to the end of the stream; leaves an incomplete last one in the buffer. */
  private void readLines(InputStream in, StringBuilder received, int own)
      throws IOException, InterruptedException {
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    while (true) {
      while (!reading && !stopped) {
        Thread.sleep(MIN_RECONNECT_MILLIS);
      }
      int count = in.read(buffer);
      if (count < 0 || !isCurrent(own)) {
        return;
      }
      received.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
      for (int end = received.indexOf("\r\n"); end >= 0; end = received.indexOf("\r\n")) {
        handleLine(received.substring(0, end));
        received.delete(0, end + 2);
      }
    }
  }

  private void handleLine(String line) throws InterruptedException {
    if (!line.startsWith("CONFIG")) {
      return;
    }
    Map<String, String> fields = new HashMap<>();
    for (String word : line.split(" ")) {
      int separator = word.indexOf('=');
      if (separator > 0) {
        fields.put(word.substring(0, separator), word.substring(separator + 1));
      }
    }
    try {
      tables.apply(fields);
    } catch (IllegalArgumentException e) {
      observer.unusableOrder(this, line, e.getMessage());
      closeConnection();
      return;
    }
    if (fields.containsKey("stamp")) {
      int delayMillis = random.nextInt(MAX_ACK_DELAY_MILLIS);
      Thread.sleep(delayMillis);
      send("ACK id=" + id + " seq=" + fields.get("stamp") + " ms=" + delayMillis);
    }
  }

  private void sendReports() {
    try {
      while (!stopped) {
        Thread.sleep(REPORT_INTERVAL_MILLIS / 2 + random.nextInt(REPORT_INTERVAL_MILLIS));
        if (socket != null && !ownFault) {
          for (String requestClass : requestClasses) {
            send("RATE id=" + id + " lane=" + requestClass + " count=9 fail=0 over=500.0");
          }
          send("PING");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a line, in two pieces at times. */
  private synchronized void send(String line) {
    Socket connection = socket;
    if (connection == null || connection.isClosed()) {
      return;
    }
    byte[] bytes = (line + "\r\n").getBytes(StandardCharsets.US_ASCII);
    int split = random.nextInt(4) == 0 ? random.nextInt(bytes.length) : 0;
    try {
      connection.getOutputStream().write(bytes, 0, split);
      connection.getOutputStream().write(bytes, split, bytes.length - split);
    } catch (IOException e) {
      // The reading thread notices the end of the connection.
    }
  }
}
