package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.discovery.PlatformListServer.entry;
import static stonespring.discovery.PlatformListServer.message;

import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import stonespring.http.ManualHttpExchange;
import stonespring.model.Event;

/** Tests fetches of the platform's complete list, with and without an active watch. */
final class PlatformEndpointFetchTest {
  @RegisterExtension final PlatformSourceFixture fixture = new PlatformSourceFixture();

  @Test
  void reportsFetchedSnapshotAndFailureWhenConnectionCloses() throws Exception {
    fixture.source.fetch();
    ManualHttpExchange fetch = fixture.server.accept();
    assertEquals("/registry/instances", fetch.target());
    fetch.writeResponse(message(9, true, entry("s-1", "Ready")));
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", fixture.updates.nextDescription());
    fixture.source.fetch();
    fixture.server.accept().close();
    assertEquals("FETCH_FAILED", fixture.updates.nextDescription());
  }

  /** The watch delivers a newer message while the fetch is pending. */
  @Test
  void keepsNewerListWhenFetchResponseIsOutdated() throws Exception {
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watch =
        fixture.server.acceptWatch().writeChunk(message(41, true, entry("s-1", "Ready")));
    fixture.updates.next();
    fixture.source.fetch();
    ManualHttpExchange outdatedFetch = fixture.server.accept();
    watch.writeChunk(message(43, false, entry("s-1", "Terminating"), entry("s-2", "Ready")));
    fixture.updates.next();
    outdatedFetch.writeResponse(message(42, true, entry("s-1", "Ready")));
    Event.EndpointListUpdate snapshot = fixture.updates.next();
    assertEquals(Event.ListUpdateKind.SNAPSHOT, snapshot.kind());
    assertEquals(
        Set.of("s-1/DRAINING", "s-2/READY"),
        snapshot.endpoints().stream()
            .map(endpoint -> endpoint.endpoint().name() + "/" + endpoint.state())
            .collect(Collectors.toSet()),
        "the fetch reports the held list");
    fixture.source.fetch();
    ManualHttpExchange newerFetch = fixture.server.accept();
    newerFetch.writeResponse(message(45, true, entry("s-3", "Ready")));
    assertEquals("SNAPSHOT s-3/READY/1/1.5/9500", fixture.updates.nextDescription());
    watch
        .writeChunk(message(44, false, entry("s-3", "Gone")))
        .writeChunk(message(46, false, entry("s-4", "Ready")));
    assertEquals("DELTA", fixture.updates.nextDescription(), "an outdated delta changes nothing");
    assertEquals("DELTA s-4/READY/1/1.5/9500", fixture.updates.nextDescription());
    assertEquals(2, fixture.source.endpoints().size());
  }

  @Test
  void rejectsFetchResponseWhenVersionsRestartedMeanwhile() throws Exception {
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watch =
        fixture.server.acceptWatch().writeChunk(message(41, true, entry("s-1", "Ready")));
    fixture.updates.next();
    fixture.source.fetch();
    ManualHttpExchange fetch = fixture.server.accept();
    watch.writeChunk(message(3, true, entry("s-2", "Ready")));
    assertEquals(
        "SNAPSHOT s-2/READY/1/1.5/9500",
        fixture.updates.nextDescription(),
        "a snapshot is applied when versions start over");
    fetch.writeResponse(message(42, true, entry("s-1", "Ready")));
    assertEquals("FETCH_FAILED", fixture.updates.nextDescription());
    assertEquals("s-2", fixture.source.endpoints().get(0).endpoint().name());
  }
}
