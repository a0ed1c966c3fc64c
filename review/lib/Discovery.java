package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery by PROTOCOL.md: GET answers the whole list, ?stream=1&index=N is a watch: chunked, one
 * object a line, the first with what changed after N, an empty line every 2 s. While it is down,
 * calls get 503 and watches are closed. It notes when it wrote which entry to the assigner.
 */
final class Discovery {
  private static final Pattern REQUEST =
      Pattern.compile("GET /registry/instances(?:\\?stream=1&index=(\\d+))? HTTP/1\\.1");

  /** State of a task as written to the assigner's present process: since when it is Ready, or is not. */
  record Told(String health, long bornMs, String site, long at) {}

  private final TaskList list;
  private final Record record;
  private final ServerSocket server;
  private final List<Socket> open = new ArrayList<>();
  private final Map<String, Told> told = new HashMap<>();
  private volatile boolean down;
  private volatile int refusedCalls;
  /** How long a call takes; calls are handled one at a time. */
  volatile long callMillis = 20;
  private final Object oneAtATime = new Object();

  Discovery(TaskList list, Record record) throws IOException {
    this.list = list;
    this.record = record;
    this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Threads.start("discovery", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Goes down: watches end, calls get 503. */
  void goDown() {
    record.note("discovery goes down: watches end, calls get 503");
    down = true;
    synchronized (open) {
      open.forEach(Threads::reset);
      open.clear();
    }
  }

  void comeUp() {
    record.note("discovery is up again");
    down = false;
  }

  int refusedCalls() {
    return refusedCalls;
  }

  /** A new process of the assigner starts: it has been told what the configuration's list says. */
  synchronized void newProcess(List<TaskList.Entry> known) {
    told.clear();
    note(known);
  }

  synchronized Map<String, Told> told() {
    return Map.copyOf(told);
  }

  private synchronized void note(List<TaskList.Entry> entries) {
    long now = System.nanoTime();
    for (TaskList.Entry e : entries) {
      Told before = told.get(e.host());
      boolean stillAway = before != null && !before.health().equals("Ready") && !e.health().equals("Ready");
      if (!stillAway && (before == null || !before.health().equals(e.health()) || before.bornMs() != e.bornMs())) {
        told.put(e.host(), new Told(e.health(), e.bornMs(), e.site(), now));
        record.line("discovery wrote " + e.host() + " " + e.health());
      }
    }
  }

  private synchronized void noteWhole(List<TaskList.Entry> entries) {
    note(entries);
    long now = System.nanoTime();
    for (Map.Entry<String, Told> t : new HashMap<>(told).entrySet()) {
      boolean listed = entries.stream().anyMatch(e -> e.host().equals(t.getKey()));
      if (!listed && !t.getValue().health().equals("Gone")) {
        told.put(t.getKey(), new Told("Gone", 0, t.getValue().site(), now));
        record.line("discovery wrote a whole list without " + t.getKey());
      }
    }
  }

  private void accept() throws Exception {
    while (true) {
      Socket connection = server.accept();
      synchronized (open) {
        open.add(connection);
      }
      Threads.start("discovery call", () -> serve(connection));
    }
  }

  private void serve(Socket connection) throws Exception {
    try (connection) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      String first = in.readLine();
      for (String line = first; line != null && !line.isEmpty(); line = in.readLine()) {
        // the headers
      }
      if (first == null) {
        return;
      }
      Matcher m = REQUEST.matcher(first);
      OutputStream out = connection.getOutputStream();
      if (!m.matches()) {
        write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      } else if (down) {
        record.line("discovery refused with 503: " + first);
        write(out, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        refusedCalls++;
      } else if (m.group(1) == null) {
        handle(first);
        List<TaskList.Entry> shown = list.listed();
        String body = TaskList.json(list.seq(), true, shown) + "\n";
        write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        noteWhole(shown);
      } else {
        handle(first);
        watch(out, Long.parseLong(m.group(1)));
      }
    } catch (IOException e) {
      // the other side closed, or this side went down
    }
  }

  private void handle(String call) {
    synchronized (oneAtATime) {
      Threads.sleep(callMillis);
    }
    record.line("discovery answers: " + call);
  }

  private void watch(OutputStream out, long index) throws IOException, InterruptedException {
    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    long sent = index;
    boolean first = true;
    while (!down) {
      long seq;
      List<TaskList.Entry> changes;
      synchronized (list) {
        seq = list.seq();
        changes = list.changesSince(sent);
      }
      if (first || seq > sent) {
        chunk(out, TaskList.json(seq, false, changes) + "\n");
        note(changes);
        sent = seq;
        first = false;
      } else {
        chunk(out, "\n");
      }
      list.awaitNewer(sent, 2_000);
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
