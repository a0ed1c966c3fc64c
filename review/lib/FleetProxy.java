package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A proxy by PROTOCOL.md: joins, applies whole messages in order, answers marks, reports its
 * requests, keeps tables and exclusions over a change of streams, and dials again after a break. It
 * sends requests of each class to a line drawn by weight, and refuses where there is none.
 */
final class FleetProxy {
  final int id;
  final String zone;
  private final FleetCase c;
  private final Random random;
  private final Map<String, Map<String, Double>> tables = new HashMap<>();
  private final Map<String, Double> levels = new HashMap<>();
  private final Set<String> excluded = new HashSet<>();
  private final Map<String, int[]> counts = new HashMap<>(); // class -> came, let in and not served
  private boolean ordered;
  private volatile Socket socket;
  volatile FleetCase.Assigner at;

  /** The assigner in charge: the one joined, or the one that did not take or ended the stream. */
  volatile FleetCase.Assigner inCharge;
  private volatile long inChargeSince;
  volatile boolean refused;
  private volatile boolean joined;
  private int requests;

  FleetProxy(int id, String zone, FleetCase c) {
    this.id = id;
    this.zone = zone;
    this.c = c;
    this.random = new Random(c.seed * 1000 + id);
    for (String name : c.classes) {
      tables.put(name, new LinkedHashMap<>());
      levels.put(name, 1.0);
      counts.put(name, new int[2]);
    }
  }

  /** Draws the standing table: up to c.standing listed tasks of the zone, if three are there. */
  void start() {
    List<TaskList.Entry> listed =
        new ArrayList<>(c.list.listed().stream().filter(e -> e.health().equals("Ready")).toList());
    List<TaskList.Entry> own = new ArrayList<>(listed.stream().filter(e -> e.site().equals(zone)).toList());
    List<TaskList.Entry> from = own.size() >= 3 ? own : listed;
    java.util.Collections.shuffle(from, random);
    for (TaskList.Entry e : from.subList(0, Math.min(c.standing, from.size()))) {
      tables.values().forEach(t -> t.put(e.host(), 1.0));
    }
    c.record.line("proxy " + id + " of " + zone + " starts, standing table " + tables.get(c.classes.get(0)).keySet());
    Threads.start("proxy " + id, this::runStreams);
    Threads.start("apply " + id, this::applyPending);
    Threads.start("rates " + id, this::report);
    if (c.requestsPerSecond > 0) {
      Threads.start("requests " + id, this::sendRequests);
    }
  }

  boolean isJoined() {
    return joined;
  }

  /** The lines that the proxy can pick for a class. */
  synchronized Set<String> lines(String name) {
    Set<String> usable = new HashSet<>(tables.get(name).keySet());
    usable.removeAll(excluded);
    return usable;
  }

  long inChargeSince() {
    return inChargeSince;
  }

  private void runStreams() {
    while (!c.over) {
      FleetCase.Assigner a = c.assigners.get(random.nextInt(c.assigners.size()));
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress("127.0.0.1", a.port), 1_000);
        s.setTcpNoDelay(true);
        socket = s;
        at = a;
        String isNew;
        synchronized (this) {
          isNew = ordered ? "0" : "1";
        }
        takenOrNot(a);
        send("SUBSCRIBE id=" + id + " site=" + zone + " rps=" + Math.max(0.1, c.requestsPerSecond) + " new=" + isNew);
        joined = true;
        read(a, s.getInputStream());
      } catch (IOException e) {
        // refused or broken
      }
      if (joined && !refused) {
        c.record.line("proxy " + id + " lost its stream to assigner " + a.index);
      }
      synchronized (this) {
        joined = false;
        stream++;
      }
      at = null;
      socket = null;
      if (!a.serving && inCharge == a) {
        inCharge = null; // the stream broke with its process: it has left
        refused = false;
      }
      Threads.sleep(c.redialMinMs + random.nextInt(c.redialMaxMs - c.redialMinMs + 1));
    }
  }

  /** A new stream: limits run anew, but where this very assigner has not taken the last one. */
  private void takenOrNot(FleetCase.Assigner a) {
    if (!refused || inCharge != a) {
      inCharge = a;
      inChargeSince = System.nanoTime();
      refused = false;
    }
  }

  private void read(FleetCase.Assigner a, InputStream in) throws IOException {
    StringBuilder received = new StringBuilder();
    List<Map<String, String>> parts = new ArrayList<>();
    byte[] buffer = new byte[8192];
    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
      received.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
      for (int end = received.indexOf("\r\n"); end >= 0; end = received.indexOf("\r\n")) {
        String line = received.substring(0, end);
        received.delete(0, end + 2);
        if (line.startsWith("NACK")) {
          refused = true;
          c.refusals.incrementAndGet();
          c.record.line("proxy " + id + " was not taken by assigner " + a.index + ": " + line);
        }
        if (line.startsWith("PING")) {
          send("PONG");
        }
        if (!line.startsWith("CONFIG")) {
          continue;
        }
        if (refused) {
          refused = false;
          inChargeSince = System.nanoTime(); // taken at last
        }
        c.record.line("proxy " + id + " got from assigner " + a.index + " " + line);
        Map<String, String> fields = new HashMap<>();
        for (String word : line.split(" ")) {
          int eq = word.indexOf('=');
          if (eq > 0) {
            fields.put(word.substring(0, eq), word.substring(eq + 1));
          }
        }
        parts.add(fields);
        if ("1".equals(fields.get("part"))) {
          continue;
        }
        double lines = c.head;
        for (Map<String, String> part : parts) {
          lines += split(part.get("rows")).size() + split(part.get("drop")).size() + split(part.get("undrop")).size()
              + (part.containsKey("gate") ? 1 : 0) + (part.containsKey("stamp") ? 1 : 0) + (part.containsKey("replace") ? 1 : 0);
        }
        long applyAt = c.channel(a, lines) + (c.lateMinMs + random.nextInt(c.lateMaxMs - c.lateMinMs + 1)) * 1_000_000L;
        pending.add(new Pending(List.copyOf(parts), applyAt, fields.get("stamp"), stream));
        parts.clear();
      }
    }
  }

  private record Pending(List<Map<String, String>> parts, long applyAt, String stamp, int stream) {}

  private final java.util.concurrent.LinkedBlockingQueue<Pending> pending = new java.util.concurrent.LinkedBlockingQueue<>();
  private volatile int stream;

  private void applyPending() throws InterruptedException {
    while (!c.over) {
      Pending p = pending.take();
      long wait = (p.applyAt - System.nanoTime()) / 1_000_000;
      if (wait > 0) {
        Thread.sleep(wait);
      }
      synchronized (this) {
        if (p.stream != stream || !joined) {
          continue; // lost with its stream
        }
        p.parts.forEach(this::apply);
      }
      if (p.stamp != null) {
        send(String.format(Locale.ROOT, "ACK id=%d seq=%s ms=%.1f", id, p.stamp, 100.0));
      }
    }
  }

  private synchronized void apply(Map<String, String> f) {
    List<String> names = f.containsKey("for") ? List.of(f.get("for").split("\\+")) : c.classes;
    boolean replace = "1".equals(f.get("replace"));
    for (String name : names) {
      Map<String, Double> table = tables.get(name);
      if (replace) {
        table.clear();
        levels.put(name, 1.0);
      }
      for (String row : split(f.get("rows"))) {
        int colon = row.lastIndexOf(':');
        double weight = Double.parseDouble(row.substring(colon + 1));
        if (weight > 0) {
          table.put(row.substring(0, colon), weight);
        } else {
          table.remove(row.substring(0, colon));
        }
      }
      if (f.containsKey("gate")) {
        levels.put(name, Double.parseDouble(f.get("gate")));
      }
    }
    ordered |= replace || f.containsKey("rows");
    excluded.addAll(split(f.get("drop")));
    excluded.removeAll(split(f.get("undrop")));
  }

  private static List<String> split(String text) {
    return text == null || text.isEmpty() ? List.of() : List.of(text.split(","));
  }

  private synchronized String pick(String name) {
    Set<String> usable = lines(name);
    double total = usable.stream().mapToDouble(h -> tables.get(name).get(h)).sum();
    double left = random.nextDouble() * total;
    for (String host : usable) {
      left -= tables.get(name).get(host);
      if (left < 0) {
        return host;
      }
    }
    return null;
  }

  private void sendRequests() {
    int k = 0;
    while (!c.over) {
      Threads.sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / c.requestsPerSecond));
      String name = c.classes.get(k++ % c.classes.size());
      Threads.start("request", () -> request(name));
    }
  }

  private void request(String name) {
    String host;
    String label;
    synchronized (this) {
      label = "r" + id + "-" + (++requests) + " " + name;
      counts.get(name)[0]++;
      if (random.nextDouble() >= levels.get(name)) {
        c.record.line("proxy " + id + " refused " + label + ": level");
        return;
      }
      host = pick(name);
    }
    if (host == null) {
      c.record.line("proxy " + id + " refused " + label + ": no line to pick");
      synchronized (this) {
        counts.get(name)[1]++;
      }
      return;
    }
    c.sent(this, host, label);
    long begun = System.nanoTime();
    boolean ok = c.tasks.call(host, label);
    FleetCase.Assigner a = at;
    if (a != null) c.collectors.get(zone + a.index).tried(host, ok, (System.nanoTime() - begun) / 1e6);
    c.record.line("proxy " + id + (ok ? " answered " : " failed ") + label + " by " + host);
    if (!ok) {
      synchronized (this) {
        counts.get(name)[1]++;
      }
    }
  }

  private void report() {
    while (!c.over) {
      Threads.sleep((long) (c.reportEveryS * 1000));
      List<String> lines = new ArrayList<>();
      synchronized (this) {
        for (String name : c.classes) {
          int[] n = counts.get(name);
          if (n[0] > 0) {
            lines.add("RATE id=" + id + " lane=" + name + " count=" + n[0] + " fail=" + Math.min(n[0], n[1])
                + " over=" + c.reportEveryS * 1000);
          }
          counts.put(name, new int[2]);
        }
      }
      if (joined && !lines.isEmpty()) {
        Threads.start("late rates", () -> {
          Threads.sleep(c.reportLateMs);
          for (String line : lines) {
            send(line);
          }
        });
      }
    }
  }

  private synchronized void send(String line) {
    Socket s = socket;
    if (s == null) {
      return;
    }
    try {
      s.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      // the reader notices
    }
  }
}
