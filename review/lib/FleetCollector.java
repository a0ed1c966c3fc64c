package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A zone's collector: passes on, each period and late, what the zone's proxies met at each task. */
final class FleetCollector {
  private static final class Sum {
    int count;
    int fail;
    double millis;
  }

  private final String zone;
  private final FleetCase c;
  private Map<String, Sum> sums = new HashMap<>();
  private volatile Socket socket;
  private final FleetCase.Assigner a;

  FleetCollector(String zone, FleetCase c, FleetCase.Assigner a) {
    this.a = a;
    this.zone = zone;
    this.c = c;
  }

  void start() {
    Threads.start("collector " + zone, this::runStreams);
    Threads.start("sums " + zone, this::report);
  }

  synchronized void tried(String host, boolean ok, double millis) {
    Sum sum = sums.computeIfAbsent(host, h -> new Sum());
    sum.count++;
    sum.fail += ok ? 0 : 1;
    sum.millis += ok ? millis : 0;
  }

  private void runStreams() {
    while (!c.over) {
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress("127.0.0.1", a.port), 1_000);
        s.getOutputStream().write(("SOURCE site=" + zone + "\r\n").getBytes(StandardCharsets.US_ASCII));
        socket = s;
        c.record.line("collector " + zone + " joined");
        while (s.getInputStream().read() >= 0) {
          // the assigner never writes to a collector
        }
      } catch (IOException e) {
        // refused or broken
      }
      socket = null;
      Threads.sleep(200);
    }
  }

  private void report() {
    while (!c.over) {
      Threads.sleep((long) (c.reportEveryS * 1000));
      Map<String, Sum> taken;
      synchronized (this) {
        taken = sums;
        sums = new HashMap<>();
      }
      List<String> lines = new ArrayList<>();
      taken.forEach((host, s) -> lines.add(String.format(Locale.ROOT,
          "LOAD site=%s target=%s count=%d fail=%d mean=%.1f over=%.1f util=util:0.40,queue:0",
          zone, host, s.count, s.fail, s.count > s.fail ? s.millis / (s.count - s.fail) : 0, c.reportEveryS * 1000)));
      if (!lines.isEmpty()) {
        Threads.start("late sums", () -> {
          Threads.sleep(c.reportLateMs);
          Socket s = socket;
          if (s != null) {
            c.record.line("collector " + zone + " sends " + lines.size() + " LOAD lines");
            s.getOutputStream().write((String.join("\r\n", lines) + "\r\n").getBytes(StandardCharsets.US_ASCII));
          }
        });
      }
    }
  }
}
