package stonespring.testbed.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A zone's collector: it reports what the zone's proxies observed at each listed endpoint. */
final class CollectorStandIn {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int REPORT_INTERVAL_MILLIS = 500;

  private final String zone;
  private final int port;
  private final EndpointRoster roster;
  private volatile boolean stopped;

  CollectorStandIn(String zone, int port, EndpointRoster roster) {
    this.zone = zone;
    this.port = port;
    this.roster = roster;
  }

  void start() {
    Thread thread = new Thread(this::runConnections, "collector " + zone);
    thread.setDaemon(true);
    thread.start();
  }

  void stop() {
    stopped = true;
  }

  private void runConnections() {
    try {
      while (!stopped) {
        try (Socket connection = new Socket()) {
          connection.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
          sendReports(connection.getOutputStream());
        } catch (IOException e) {
          // The instance is not there, or has ended; the next attempt follows.
        }
        Thread.sleep(REPORT_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendReports(OutputStream out) throws IOException, InterruptedException {
    write(out, "SOURCE site=" + zone);
    while (!stopped) {
      Thread.sleep(REPORT_INTERVAL_MILLIS);
      for (EndpointRoster.Entry entry : roster.listed()) {
        write(
            out,
            "LOAD site="
                + zone
                + " target="
                + entry.host()
                + " count=20 fail=0 mean=40.0 over=500.0 util=inflight:2,util:0.30");
      }
    }
  }

  private static void write(OutputStream out, String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
  }
}
