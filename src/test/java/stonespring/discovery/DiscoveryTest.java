package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonespring.http.HttpMessage;
import stonespring.http.HttpServer;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ZoneId;

final class DiscoveryTest {
  private static final int WAIT = 10_000; // ms; an upper bound, every wait ends with its event
  private final EndpointListCodec entries = new EndpointListCodec(List.of("west", "east"), 0);
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<Event.EndpointListUpdate> told = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<HttpServer.Exchange> asks = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<String> targets = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String entry(String id, String checks) {
    return "{\"Node\":{\"Address\":\"10.0.0.9\"},\"Service\":{\"ID\":\""
        + id
        + "\",\"Address\":\"127.0.0.1\",\"Port\":80,\"Meta\":"
        + "{\"zone\":\"east\",\"started_ms\":\"1000\"},\"Weights\":{\"Passing\":3,\"Warning\":1}},\"Checks\":["
        + checks
        + "]}";
  }

  private static String check(String id, String status) {
    return "{\"CheckID\":\"" + id + "\",\"Status\":\"" + status + "\"}";
  }

  private void answer(String index, String body) throws InterruptedException {
    HttpMessage answer = HttpMessage.answer(200, body);
    asks.poll(WAIT, TimeUnit.MILLISECONDS)
        .answer(index == null ? answer : answer.with("X-Consul-Index", index));
  }

  private Event.EndpointListUpdate next() throws InterruptedException {
    return told.poll(WAIT, TimeUnit.MILLISECONDS);
  }

  private static EndpointRecord listing(String id, double weight, EndpointRecord.State state) {
    return new EndpointRecord(
        new EndpointId(id + "@127.0.0.1:80"),
        new ZoneId(1),
        weight,
        state,
        state == EndpointRecord.State.REMOVED ? 0 : 10_000);
  }

  @Test
  void blockingQueriesAreFollowedAndEveryBreakIsToldApart() throws Exception {
    HttpServer server =
        new HttpServer(
                (request, exchange) -> {
                  targets.add(request.second());
                  asks.add(exchange);
                },
                100)
            .start(loops, "127.0.0.1", 0);
    RegistryEndpointSource source =
        new RegistryEndpointSource(
            "127.0.0.1", server.port(), "map", 5, entries, (EventLoop) loops.next());
    source.start(told::add, list -> {});
    source.follow(true);
    answer(
        "7",
        "["
            + entry("a", check("c", "passing"))
            + ","
            + entry("b", check("c", "warning"))
            + ","
            + entry("dead", check("c", "critical"))
            + "]");
    assertEquals(
        new Event.EndpointListUpdate(
            Event.ListUpdateKind.SNAPSHOT,
            List.of(
                listing("a", 3, EndpointRecord.State.READY),
                listing("b", 1, EndpointRecord.State.READY))),
        next());
    answer(
        "7",
        "[" + entry("a", check("c", "passing")) + "," + entry("b", check("c", "warning")) + "]");
    answer("9", "[" + entry("a", check("_service_maintenance:a", "critical")) + "]");
    assertEquals(
        new Event.EndpointListUpdate(
            Event.ListUpdateKind.DELTA,
            List.of(
                listing("a", 3, EndpointRecord.State.DRAINING),
                listing("b", 1, EndpointRecord.State.REMOVED))),
        next(),
        "an ask that timed out with nothing new says nothing");
    answer("2", "[]");
    assertEquals(1, next().endpoints().size());
    assertEquals(
        List.of(
            "/v1/health/service/map",
            "/v1/health/service/map?index=7&wait=5s",
            "/v1/health/service/map?index=7&wait=5s",
            "/v1/health/service/map?index=9&wait=5s"),
        List.of(targets.take(), targets.take(), targets.take(), targets.take()));
    assertEquals(
        "/v1/health/service/map",
        targets.poll(WAIT, TimeUnit.MILLISECONDS),
        "an index that goes back starts anew");
    answer(null, "[]");
    assertEquals(Event.ListUpdateKind.FETCH_FAILED, next().kind(), "no index");
    source.follow(true);
    answer("12", "[" + entry("a", check("c", "passing")) + "]");
    assertEquals(
        Event.ListUpdateKind.SNAPSHOT, next().kind(), "asked anew: what was missed is not known");
    asks.poll(WAIT, TimeUnit.MILLISECONDS).channel().close();
    assertEquals(Event.ListUpdateKind.FETCH_FAILED, next().kind(), "the follow dropped");
    for (String bad : new String[] {"{}", "[{}]", "[" + entry("a b", "") + "]", "not json"}) {
      source.fetch();
      answer("13", bad);
      assertEquals(Event.ListUpdateKind.FETCH_FAILED, next().kind(), bad);
    }
    source.fetch();
    answer("13", "[" + entry("a", check("c", "passing")) + "]");
    assertEquals(Event.ListUpdateKind.SNAPSHOT, next().kind());
    server.stop();
    source.fetch();
    assertEquals(Event.ListUpdateKind.FETCH_FAILED, next().kind(), "nobody listens");
    source.stop();
  }

  @Test
  void aWatchedFileTellsChangesAndABadOneChangesNothing(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("tasks.json");
    String a =
        "{\"id\":\"a\",\"address\":\"127.0.0.1:80\",\"zone\":\"east\",\"weight\":3,\"started_ms\":1000}";
    Files.writeString(file, "[" + a + "]");
    FileEndpointSource source = new FileEndpointSource(file, entries, (EventLoop) loops.next());
    source.start(told::add, list -> {});
    assertEquals(
        new Event.EndpointListUpdate(
            Event.ListUpdateKind.SNAPSHOT, List.of(listing("a", 3, EndpointRecord.State.READY))),
        next());
    Files.writeString(file, "[" + a + ", half a list");
    Files.writeString(file, "[" + a.replace("}", ",\"state\":\"draining\"}") + "]");
    assertEquals(
        new Event.EndpointListUpdate(
            Event.ListUpdateKind.DELTA, List.of(listing("a", 3, EndpointRecord.State.DRAINING))),
        next());
    Files.writeString(file, "[]");
    assertEquals(
        new Event.EndpointListUpdate(
            Event.ListUpdateKind.DELTA, List.of(listing("a", 3, EndpointRecord.State.REMOVED))),
        next());
    source.stop();
  }

  @Test
  void aBadListNamesEntryAndField() {
    for (String[] row :
        new String[][] {
          {"{}", "no JSON array"},
          {"[1]", "entry 0: it is no object"},
          {"[{\"id\":\"a/b\"}]", "entry 0: field 'id'"},
          {"[{\"id\":\"a\",\"address\":\"h\"}]", "field 'address'"},
          {
            "[{\"id\":\"a\",\"address\":\"h:1\",\"zone\":\"x\"}]",
            "field 'zone' names no zone of the settings: x"
          },
          {
            "[{\"id\":\"a\",\"address\":\"h:1\",\"zone\":\"east\",\"state\":\"up\"}]",
            "field 'state'"
          },
          {"[{\"id\":\"a\",\"address\":\"h:1\",\"zone\":\"east\",\"weight\":0}]", "field 'weight'"},
          {"[", "line 1"}
        }) {
      EndpointListCodec.BadList e =
          assertThrows(
              EndpointListCodec.BadList.class,
              () -> entries.read(row[0].getBytes(StandardCharsets.UTF_8)));
      assertTrue(e.getMessage().contains(row[1]), e.getMessage());
    }
  }

  @Test
  void theSavedListComesBack(@TempDir Path folder) throws Exception {
    CachedEndpointList saved = new CachedEndpointList(folder.resolve("list.json"), entries);
    List<EndpointRecord> list =
        List.of(
            listing("a", 3, EndpointRecord.State.DRAINING),
            listing("b", 1, EndpointRecord.State.READY));
    saved.keep(list);
    saved.stop();
    assertEquals(list, new CachedEndpointList(folder.resolve("list.json"), entries).read());
    Files.writeString(folder.resolve("list.json"), "[{");
    assertEquals(List.of(), new CachedEndpointList(folder.resolve("list.json"), entries).read());
  }
}
