package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.http.HttpServer;
import stonespring.model.EndpointRecord;

/**
 * A registry in the published form of Consul's health endpoint, with blocking queries. What changes
 * shows after a stated lateness, as registries learn late. It writes down what it told and when:
 * that is what an assigner knew.
 */
final class RegistryStandIn {
  private record Entry(String name, int port, String zone, boolean draining, double startedAt) {}

  private static final long WAIT_MOST = 60_000; // ms; as the published pages bound a wait

  private final EventLoop loop;
  private final EventLoopGroup loops;
  private final Evidence evidence;
  private final long lateMillis;
  private final long unixAtStart = System.currentTimeMillis();
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final TreeMap<String, String> lastTold = new TreeMap<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private final TreeSet<String> hidden = new TreeSet<>();
  private HttpServer server;
  private long index = 1;
  private boolean dead;

  RegistryStandIn(EventLoopGroup loops, Evidence evidence, long lateMillis) {
    this.loops = loops;
    this.loop = loops.next();
    this.evidence = evidence;
    this.lateMillis = lateMillis;
  }

  void start(int port) throws IOException, InterruptedException {
    server =
        new HttpServer((request, exchange) -> loop.execute(() -> take(request, exchange)), 1024)
            .start(loops, "127.0.0.1", port);
  }

  int port() {
    return server.port();
  }

  void stop() {
    server.stop();
  }

  /** Answers nothing, or answers again: asks that wait break off. */
  void dead(boolean on) {
    loop.execute(
        () -> {
          dead = on;
          if (on) {
            server.connections().close();
          }
        });
  }

  /** A task runs, or drains; shown late. */
  void set(TaskStandIn task, boolean draining) {
    Entry entry = new Entry(task.name(), task.port(), task.zone(), draining, task.startedAt());
    loop.schedule(
        () -> {
          entries.put(entry.name, entry);
          changed();
        },
        lateMillis,
        TimeUnit.MILLISECONDS);
  }

  void remove(TaskStandIn task) {
    loop.schedule(
        () -> {
          entries.remove(task.name());
          changed();
        },
        lateMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Replaces all that is listed. */
  void whole(List<EndpointRecord> list, List<String> zones) {
    loop.execute(
        () -> {
          entries.clear();
          for (EndpointRecord l : list) {
            String id = l.endpoint().name();
            entries.put(
                id,
                new Entry(
                    id.substring(0, id.lastIndexOf('@')),
                    Integer.parseInt(id.substring(id.lastIndexOf(':') + 1)),
                    zones.get(l.zone().index()),
                    l.state() == EndpointRecord.State.DRAINING,
                    l.startedAt() == 0 ? -1 : l.startedAt() / 10.0 - unixAtStart));
          }
          changed();
        });
  }

  /** Calls running tasks gone, or takes that back: a wrong list. */
  void hide(String name, boolean on) {
    loop.execute(
        () -> {
          if (on) {
            hidden.add(name);
          } else {
            hidden.remove(name);
          }
          changed();
        });
  }

  private void changed() {
    index++;
    List<Runnable> all = new ArrayList<>(waiters);
    waiters.clear();
    all.forEach(Runnable::run);
  }

  private void take(HttpRequest request, HttpServer.Exchange exchange) {
    if (dead) {
      exchange.channel().close();
      return;
    }
    java.util.regex.Matcher query =
        java.util.regex.Pattern.compile(
                "/v1/health/service/tasks(?:\\?index=([0-9]+)&wait=([0-9]+)s)?")
            .matcher(request.target());
    if (!query.matches()) {
      exchange.respond(HttpResponse.of(404, "no such path\n"));
      return;
    }
    long asked = query.group(1) == null ? 0 : Long.parseLong(query.group(1));
    if (asked != index || asked == 0) {
      answer(exchange);
      return;
    }
    boolean[] done = new boolean[1];
    Runnable once =
        () -> {
          if (!done[0]) {
            done[0] = true;
            answer(exchange);
          }
        };
    waiters.add(once);
    loop.schedule(
        () -> {
          waiters.remove(once);
          once.run();
        },
        Math.min(WAIT_MOST, Long.parseLong(query.group(2)) * 1000),
        TimeUnit.MILLISECONDS);
  }

  private void answer(HttpServer.Exchange exchange) {
    if (!exchange.channel().isActive()) {
      return;
    }
    StringBuilder json = new StringBuilder("[");
    TreeMap<String, String> told = new TreeMap<>();
    for (Entry e : entries.values()) {
      if (hidden.contains(e.name)) {
        continue;
      }
      long started = e.startedAt < 0 ? 0 : unixAtStart + (long) e.startedAt;
      json.append(json.length() > 1 ? "," : "")
          .append("{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\"")
          .append(e.name)
          .append("\",\"Address\":\"127.0.0.1\",\"Port\":")
          .append(e.port)
          .append(",\"Meta\":{\"zone\":\"")
          .append(e.zone)
          .append("\",\"started_ms\":\"")
          .append(started)
          .append(
              "\"},\"Weights\":{\"Passing\":1,\"Warning\":1}},\"Checks\":[{\"CheckID\":\"run\",\"Status\":\"passing\"}")
          .append(
              e.draining
                  ? ",{\"CheckID\":\"_service_maintenance:" + e.name + "\",\"Status\":\"critical\"}"
                  : "")
          .append("]}");
      String id = e.name + "@127.0.0.1:" + e.port;
      told.put(id, e.draining ? "draining" : "ready");
      if (!told.get(id).equals(lastTold.get(id)) || e.startedAt >= 0) {
        evidence.add(new Evidence.Told(evidence.now(), id, told.get(id), e.startedAt));
      }
    }
    for (String id : lastTold.keySet()) {
      if (!told.containsKey(id)) {
        evidence.add(new Evidence.Told(evidence.now(), id, "gone", -1));
      }
    }
    lastTold.clear();
    lastTold.putAll(told);
    HttpResponse answer =
        HttpResponse.of(200, json.append("]").toString())
            .setHeader("x-consul-index", String.valueOf(index));
    exchange.respond(answer.setHeader("content-type", "application/json"));
  }
}
