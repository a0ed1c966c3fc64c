package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.discovery.PlatformListServer.entry;
import static stonespring.discovery.PlatformListServer.message;
import static stonespring.http.ManualHttpExchange.CHUNKED_HEAD;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import stonespring.http.ManualHttpExchange;
import stonespring.model.EndpointRecord;

/** Tests a watch while the address of the discovery server changes. */
final class PlatformEndpointAddressChangeTest {
  @RegisterExtension final PlatformSourceFixture fixture = new PlatformSourceFixture();
  private ManualHttpExchange oldWatch;
  private PlatformListServer newServer;

  /** Watches the old address up to version 5, then changes the address. */
  @BeforeEach
  void startWatchAndChangeAddress() throws Exception {
    fixture.source.setWatchEnabled(true);
    oldWatch = fixture.server.acceptWatch().writeChunk(message(5, true, entry("s-1", "Ready")));
    fixture.updates.next();
    newServer = fixture.newServer();
    fixture.source.changeAddress(newServer.address());
  }

  @Test
  void closesOldWatchWhenNewAddressResponds() throws Exception {
    ManualHttpExchange newWatch = newServer.accept();
    assertEquals("/registry/instances?stream=1&index=5", newWatch.target());
    oldWatch.writeChunk(message(6, false, entry("s-2", "Ready")));
    assertEquals(
        "DELTA s-2/READY/1/1.5/9500",
        fixture.updates.nextDescription(),
        "the old watch is still in use");
    newWatch.writeRaw(CHUNKED_HEAD).writeChunk(message(6, false, entry("s-2", "Ready")));
    assertEquals("DELTA s-2/READY/1/1.5/9500", fixture.updates.nextDescription());
    assertTrue(oldWatch.closedByClient(), "the old watch is closed");
    newWatch.close();
    assertEquals(
        "FETCH_FAILED", fixture.updates.nextDescription(), "only the new watch reports a failure");
    fixture.source.setWatchEnabled(true);
    assertNotNull(newServer.accept());
  }

  @Test
  void retriesNewAddressWhenItsFirstWatchFails() throws Exception {
    newServer.accept().writeRaw("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    ManualHttpExchange retry = newServer.accept();
    oldWatch.close(); // The new address has not responded yet.
    retry.writeRaw(CHUNKED_HEAD).writeChunk(message(6, false, entry("s-2", "Ready")));
    assertEquals(
        "DELTA s-2/READY/1/1.5/9500", fixture.updates.nextDescription(), "no failure is reported");
  }

  /**
   * Guards against a source that watches nothing for good: the address changes again after the old
   * watch has ended and before the first new address has responded.
   */
  @Test
  void watchesThirdAddressWhenOldWatchEndedBeforeTheSecondResponded() throws Exception {
    ManualHttpExchange second = newServer.accept();
    oldWatch.writeRaw("0\r\n\r\n");
    assertTrue(oldWatch.closedByClient(), "the end of the old watch is noticed");
    PlatformListServer third = fixture.newServer();
    fixture.source.changeAddress(third.address());
    ManualHttpExchange thirdWatch = third.accept();
    assertTrue(second.closedByClient(), "the second address is no longer of interest");
    thirdWatch.writeRaw("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    assertEquals(
        "FETCH_FAILED", fixture.updates.nextDescription(), "the engine decides on the next try");
  }

  /**
   * The old watch has already delivered versions 6 and 7 when the new watch, requested from version
   * 5, delivers version 6.
   */
  @Test
  void ignoresOutdatedMessageOfNewWatchAndKeepsFollowingIt() throws Exception {
    ManualHttpExchange newWatch = newServer.accept();
    oldWatch
        .writeChunk(message(6, false, entry("s-1", "Ready")))
        .writeChunk(message(7, false, entry("s-1", "Terminating")));
    fixture.updates.next();
    fixture.updates.next();
    newWatch.writeRaw(CHUNKED_HEAD).writeChunk(message(6, false, entry("s-1", "Ready")));
    assertEquals("DELTA", fixture.updates.nextDescription());
    assertEquals(EndpointRecord.State.DRAINING, fixture.source.endpoints().get(0).state());
    newWatch
        .writeChunk(message(7, false, entry("s-1", "Terminating")))
        .writeChunk(message(8, false, entry("s-2", "Ready")));
    assertEquals("DELTA s-1/DRAINING/1/1.5/9500", fixture.updates.nextDescription());
    assertEquals("DELTA s-2/READY/1/1.5/9500", fixture.updates.nextDescription());
  }
}
