package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.discovery.EndpointLists.delta;
import static stonespring.discovery.EndpointLists.endpoint;
import static stonespring.discovery.EndpointLists.snapshot;
import static stonespring.discovery.RegistryServer.check;
import static stonespring.discovery.RegistryServer.entry;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

final class RegistryEndpointSourceTest {
  private static final String PASSING_A = entry("a", check("c", "passing"));
  private static final String WARNING_B = entry("b", check("c", "warning"));

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EndpointUpdates updates = new EndpointUpdates();
  private RegistryServer registry;
  private RegistryEndpointSource source;

  @BeforeEach
  void start() throws Exception {
    registry = new RegistryServer(loops);
    source =
        new RegistryEndpointSource(
            "127.0.0.1",
            registry.port(),
            "map",
            5,
            EndpointLists.codec(),
            (EventLoop) loops.next());
    source.start(updates, EndpointUpdates::ignoreList);
  }

  @AfterEach
  void stop() {
    source.stop();
    registry.stop();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void reportsChangesAndRestartsQueriesWhenIndexDecreases() throws Exception {
    source.setWatchEnabled(true);
    registry.respond(7, PASSING_A, WARNING_B, entry("dead", check("c", "critical")));
    assertEquals(
        snapshot(
            endpoint("a", 3, EndpointRecord.State.READY),
            endpoint("b", 1, EndpointRecord.State.READY)),
        updates.next());
    registry.respond(7, PASSING_A, WARNING_B);
    registry.respond(9, entry("a", check("_service_maintenance:a", "critical")));
    assertEquals(
        delta(
            endpoint("a", 3, EndpointRecord.State.DRAINING),
            endpoint("b", 1, EndpointRecord.State.REMOVED)),
        updates.next(),
        "a query that timed out without a change reports nothing");
    registry.respond(2);
    assertEquals(1, updates.next().endpoints().size());
    assertEquals(
        List.of(
            "/v1/health/service/map",
            "/v1/health/service/map?index=7&wait=5s",
            "/v1/health/service/map?index=7&wait=5s",
            "/v1/health/service/map?index=9&wait=5s"),
        List.of(
            registry.nextTarget(),
            registry.nextTarget(),
            registry.nextTarget(),
            registry.nextTarget()));
    assertEquals(
        "/v1/health/service/map",
        registry.nextTarget(),
        "a query without an index follows a decreased index");
    registry.respondWithoutIndex("[]");
    assertEquals(
        Event.ListUpdateKind.FETCH_FAILED,
        updates.next().kind(),
        "a response without an index fails the query");
  }

  @Test
  void reportsSnapshotWhenWatchRestartsAndFailureWhenConnectionCloses() throws Exception {
    source.setWatchEnabled(true);
    registry.respond(7, PASSING_A, WARNING_B);
    assertEquals(Event.ListUpdateKind.SNAPSHOT, updates.next().kind());
    registry.respondWithoutIndex("[]");
    assertEquals(Event.ListUpdateKind.FETCH_FAILED, updates.next().kind());
    source.setWatchEnabled(true);
    registry.respond(12, PASSING_A);
    assertEquals(
        Event.ListUpdateKind.SNAPSHOT,
        updates.next().kind(),
        "a restarted watch reports a snapshot");
    registry.accept().channel().close();
    assertEquals(
        Event.ListUpdateKind.FETCH_FAILED,
        updates.next().kind(),
        "the query fails when the connection is closed");
  }

  @Test
  void failsFetchWhenResponseIsInvalidOrMissing() throws Exception {
    for (String invalid : new String[] {"{}", "[{}]", "[" + entry("a b", "") + "]", "not json"}) {
      source.fetch();
      registry.respondBody(13, invalid);
      assertEquals(Event.ListUpdateKind.FETCH_FAILED, updates.next().kind(), invalid);
    }
    source.fetch();
    registry.respond(13, PASSING_A);
    assertEquals(Event.ListUpdateKind.SNAPSHOT, updates.next().kind());
    registry.stop();
    source.fetch();
    assertEquals(
        Event.ListUpdateKind.FETCH_FAILED,
        updates.next().kind(),
        "the query fails while the registry is stopped");
  }
}
