package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.http.HttpServer;
import stonespring.model.EndpointRecord;

/**
 * A simulated registry with the interface of Consul's health endpoint, including blocking queries.
 * Registrations become visible after a delay, since real registries learn of changes late. The
 * registry records each list that it responds with as evidence of what instances could know. All
 * state is confined to one event loop; the methods may be called from any thread.
 */
final class RegistryStandIn {
  /**
   * One registered endpoint.
   *
   * @param warmUpStartedAtMillis the start of its slow start on the clock of {@link Evidence};
   *     negative if there was none
   */
  private record Entry(
      String name, int port, String zone, boolean draining, double warmUpStartedAtMillis) {
    String id() {
      return name + "@127.0.0.1:" + port;
    }
  }

  private static final Pattern QUERY =
      Pattern.compile("/v1/health/service/tasks(?:\\?index=([0-9]+)&wait=([0-9]+)s)?");
  private static final int MAX_REQUEST_BYTES = 1024;

  /** The documented upper limit of the wait of a blocking query. */
  private static final long MAX_WAIT_MILLIS = 60_000;

  private final EventLoop loop;
  private final EventLoopGroup loops;
  private final Evidence evidence;
  private final long changeDelayMillis;
  private final long unixMillisAtStart = System.currentTimeMillis();
  private final TreeMap<String, Entry> entries = new TreeMap<>();

  /** The state of each endpoint in the latest response, by id. */
  private final TreeMap<String, String> lastStates = new TreeMap<>();

  private final List<Runnable> waitingQueries = new ArrayList<>();
  private final TreeSet<String> hiddenNames = new TreeSet<>();
  private HttpServer server;

  /** The index of Consul's blocking queries: changes with every change of the list. */
  private long index = 1;

  private boolean unavailable;

  RegistryStandIn(EventLoopGroup loops, Evidence evidence, long changeDelayMillis) {
    this.loops = loops;
    this.loop = loops.next();
    this.evidence = evidence;
    this.changeDelayMillis = changeDelayMillis;
  }

  void start(int port) throws IOException, InterruptedException {
    server =
        new HttpServer(
                (request, exchange) -> loop.execute(() -> handleRequest(request, exchange)),
                MAX_REQUEST_BYTES)
            .start(loops, "127.0.0.1", port);
  }

  int port() {
    return server.port();
  }

  void stop() {
    server.stop();
  }

  /**
   * Switches the registry's outage. An outage closes all connections, and then each connection on
   * which a request arrives.
   */
  void setUnavailable(boolean on) {
    loop.execute(
        () -> {
          unavailable = on;
          if (on) {
            server.connections().close();
          }
        });
  }

  /** Lists an endpoint as ready or draining once the delay has passed. */
  void register(EndpointStandIn endpoint, boolean draining) {
    Entry entry =
        new Entry(
            endpoint.name(),
            endpoint.port(),
            endpoint.zone(),
            draining,
            endpoint.warmUpStartedAtMillis());
    loop.schedule(
        () -> {
          entries.put(entry.name, entry);
          publishChange();
        },
        changeDelayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Removes an endpoint from the list once the delay has passed. */
  void deregister(EndpointStandIn endpoint) {
    loop.schedule(
        () -> {
          entries.remove(endpoint.name());
          publishChange();
        },
        changeDelayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Replaces the whole list without a delay. */
  void replaceAll(List<EndpointRecord> list, List<String> zones) {
    loop.execute(
        () -> {
          entries.clear();
          for (EndpointRecord endpoint : list) {
            String id = endpoint.endpoint().name();
            entries.put(
                id,
                new Entry(
                    id.substring(0, id.lastIndexOf('@')),
                    Integer.parseInt(id.substring(id.lastIndexOf(':') + 1)),
                    zones.get(endpoint.zone().index()),
                    endpoint.state() == EndpointRecord.State.DRAINING,
                    endpoint.startedAt() == 0
                        ? -1
                        : endpoint.startedAt() / 10.0 - unixMillisAtStart));
          }
          publishChange();
        });
  }

  /** Hides a registered endpoint from the list or shows it again, without a delay. */
  void setHidden(String name, boolean on) {
    loop.execute(
        () -> {
          if (on) {
            hiddenNames.add(name);
          } else {
            hiddenNames.remove(name);
          }
          publishChange();
        });
  }

  /** Advances the index and answers all waiting queries. */
  private void publishChange() {
    index++;
    List<Runnable> responses = new ArrayList<>(waitingQueries);
    waitingQueries.clear();
    responses.forEach(Runnable::run);
  }

  private void handleRequest(HttpRequest request, HttpServer.Exchange exchange) {
    if (unavailable) {
      exchange.channel().close();
      return;
    }
    Matcher query = QUERY.matcher(request.target());
    if (!query.matches()) {
      exchange.respond(HttpResponse.of(404, "no such path\n"));
      return;
    }
    long knownIndex = query.group(1) == null ? 0 : Long.parseLong(query.group(1));
    if (knownIndex != index || knownIndex == 0) {
      respond(exchange);
    } else {
      respondOnChange(exchange, Long.parseLong(query.group(2)) * 1000);
    }
  }

  /** Responds at the next change, or when the wait ends without a change. */
  private void respondOnChange(HttpServer.Exchange exchange, long waitMillis) {
    boolean[] responded = new boolean[1];
    Runnable respondOnce =
        () -> {
          if (!responded[0]) {
            responded[0] = true;
            respond(exchange);
          }
        };
    waitingQueries.add(respondOnce);
    loop.schedule(
        () -> {
          waitingQueries.remove(respondOnce);
          respondOnce.run();
        },
        Math.min(MAX_WAIT_MILLIS, waitMillis),
        TimeUnit.MILLISECONDS);
  }

  private void respond(HttpServer.Exchange exchange) {
    if (!exchange.channel().isActive()) {
      return;
    }
    List<Entry> listed =
        entries.values().stream().filter(entry -> !hiddenNames.contains(entry.name())).toList();
    recordListed(listed);
    exchange.respond(
        HttpResponse.of(200, toJson(listed))
            .setHeader("x-consul-index", String.valueOf(index))
            .setHeader("content-type", "application/json"));
  }

  /**
   * Records the content of a response as evidence: each entry whose state differs from the previous
   * response, each entry that is no longer listed, and, in every response, each entry with a known
   * start of its slow start.
   */
  private void recordListed(List<Entry> listed) {
    TreeMap<String, String> states = new TreeMap<>();
    for (Entry entry : listed) {
      String state = entry.draining() ? "draining" : "ready";
      states.put(entry.id(), state);
      if (!state.equals(lastStates.get(entry.id())) || entry.warmUpStartedAtMillis() >= 0) {
        evidence.add(
            new Evidence.Listed(evidence.now(), entry.id(), state, entry.warmUpStartedAtMillis()));
      }
    }
    for (String id : lastStates.keySet()) {
      if (!states.containsKey(id)) {
        evidence.add(new Evidence.Listed(evidence.now(), id, "gone", -1));
      }
    }
    lastStates.clear();
    lastStates.putAll(states);
  }

  private String toJson(List<Entry> listed) {
    return listed.stream().map(this::toJson).collect(Collectors.joining(",", "[", "]"));
  }

  private String toJson(Entry entry) {
    long startedUnixMillis =
        entry.warmUpStartedAtMillis() < 0
            ? 0
            : unixMillisAtStart + (long) entry.warmUpStartedAtMillis();
    String maintenance =
        entry.draining()
            ? ",{\"CheckID\":\"_service_maintenance:" + entry.name() + "\",\"Status\":\"critical\"}"
            : "";
    return "{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\""
        + entry.name()
        + "\",\"Address\":\"127.0.0.1\",\"Port\":"
        + entry.port()
        + ",\"Meta\":{\"zone\":\""
        + entry.zone()
        + "\",\"started_ms\":\""
        + startedUnixMillis
        + "\"},\"Weights\":{\"Passing\":1,\"Warning\":1}},"
        + "\"Checks\":[{\"CheckID\":\"run\",\"Status\":\"passing\"}"
        + maintenance
        + "]}";
  }
}
