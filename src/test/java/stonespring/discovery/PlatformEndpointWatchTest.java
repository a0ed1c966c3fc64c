package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.discovery.PlatformListServer.entry;
import static stonespring.discovery.PlatformListServer.message;
import static stonespring.http.ManualHttpExchange.CHUNKED_HEAD;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import stonespring.http.Connector;
import stonespring.http.ManualHttpExchange;
import stonespring.model.Event;

/** A watch of the platform's list, and each way in which it fails. */
final class PlatformEndpointWatchTest {
  @RegisterExtension final PlatformSourceFixture fixture = new PlatformSourceFixture();

  @Test
  void reportsChangesHoweverTheBytesAreCut() throws Exception {
    fixture.loadCachedList(41);
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watch = fixture.server.accept();
    assertEquals("/registry/instances?stream=1&index=41", watch.target());
    String first = message(43, false, entry("s-1", "Terminating"), entry("s-2", "Ready"));
    watch
        .writeRaw(CHUNKED_HEAD)
        .writeChunk(first.substring(0, 30))
        .writeChunk(first.substring(30))
        .writeChunk("\n")
        .writeChunk("\r\n");
    assertEquals(
        "DELTA s-1/DRAINING/1/1.5/9500 s-2/READY/1/1.5/9500", fixture.updates.nextDescribed());
    watch.writeChunk(
        message(44, false, entry("s-1", "Gone")) + message(45, true, entry("s-3", "Ready")));
    assertEquals("DELTA s-1/REMOVED/1/1.5/9500", fixture.updates.nextDescribed());
    assertEquals("SNAPSHOT s-3/READY/1/1.5/9500", fixture.updates.nextDescribed());
    assertTrue(fixture.updates.isEmpty(), "a keep-alive reports nothing");
  }

  @Test
  void reportsEachFailureOnceAndResumesAtTheHeldVersion() throws Exception {
    fixture.loadCachedList(41);
    String[] failures = {
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
      CHUNKED_HEAD + "3\r\n{x\n\r\n",
      CHUNKED_HEAD + "0\r\n\r\n",
      "rubbish\r\n",
      CHUNKED_HEAD + "5\r\n[1]\r\n\r\n",
      CHUNKED_HEAD + "c\r\n{\"seq\":\"a\"}\n\r\n"
    };
    for (String failure : failures) {
      fixture.source.setWatchEnabled(true);
      ManualHttpExchange watch = fixture.server.accept().writeRaw(failure);
      assertEquals("/registry/instances?stream=1&index=41", watch.target());
      assertEquals("FETCH_FAILED", fixture.updates.nextDescribed(), failure);
    }
    fixture.source.setWatchEnabled(true);
    fixture.server.accept().close();
    assertEquals("FETCH_FAILED", fixture.updates.nextDescribed(), "a reset");
    fixture.source.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk("{\"seq\":50,\"who").close();
    assertEquals("FETCH_FAILED", fixture.updates.nextDescribed(), "half a message");
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange wentBack = fixture.server.accept();
    assertEquals(
        "/registry/instances?stream=1&index=41", wentBack.target(), "half a message moved nothing");
    wentBack.writeRaw(CHUNKED_HEAD).writeChunk(message(7, false));
    assertEquals("FETCH_FAILED", fixture.updates.nextDescribed(), "the version went back");
    fixture.source.setWatchEnabled(true);
    assertEquals(
        "/registry/instances?stream=1&index=0",
        fixture.server.accept().target(),
        "only a snapshot tells what was missed");
    fixture.source.setWatchEnabled(false);
    assertTrue(fixture.updates.isEmpty());
  }

  @Test
  void failsAfterSilence() throws Exception {
    fixture.source.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk("\n");
    long startNanos = System.nanoTime();
    assertEquals("FETCH_FAILED", fixture.updates.nextDescribed());
    assertTrue(System.nanoTime() - startNanos > 2_000_000_000L, "not before a keep-alive was due");
  }

  /** The server never completes a message, and never falls silent either. */
  @Test
  void failsWhenAMessageArrivesInPiecesWithoutEnd() throws Exception {
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watch =
        fixture.server.acceptWatch().writeChunk("\n").writeChunk("{\"seq\":5,");
    Event.EndpointListUpdate update = null;
    for (int piece = 0; update == null && piece < 32; piece++) {
      watch.writeChunk(" ");
      update = fixture.updates.poll(250);
    }
    assertNotNull(update, "while pieces still arrive");
    assertEquals("FETCH_FAILED", EndpointUpdates.describe(update));
    fixture.source.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk(message(5, true, entry("s-1", "Ready")));
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", fixture.updates.nextDescribed());
  }

  @Test
  void leavesOutInvalidEntriesAndKeepsTheRecordsHeld() throws Exception {
    fixture.loadCachedList(41);
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watch = fixture.server.acceptWatch();
    for (String[] replacement :
        new String[][] {
          {"\"site\":\"east\"", "\"site\":\"mars\""},
          {"\"health\":\"Ready\"", "\"health\":\"?\""},
          {"\"share\":1.5", "\"share\":-1"},
          {"\"share\":1.5", "\"share\":\"x\""},
          {"\"born_ms\":1000", "\"born_ms\":1e300"},
          {"\"born_ms\":1000", "\"born_ms\":-1"}
        }) {
      String invalid = entry("s-1", "Ready").replace(replacement[0], replacement[1]);
      watch.writeChunk(message(50, true, invalid, entry("s-2", "Ready")));
      assertEquals(
          "SNAPSHOT s-1/READY/1/1.5/9500 s-2/READY/1/1.5/9500",
          fixture.updates.nextDescribed(),
          replacement[1]);
    }
    for (String id : new String[] {"\"a b\"", "\"a,b\"", "\"a:b\"", "\"\"", "7"}) {
      watch.writeChunk(message(51, false, entry("s-9", "Ready").replace("\"s-9\"", id)));
      assertEquals("DELTA", fixture.updates.nextDescribed(), id);
    }
    assertEquals(11, fixture.list.invalidEntries());
    assertEquals(2, fixture.source.endpoints().size());
  }

  /** No file descriptor is left for the watch, nor for the fetch after it. */
  @Test
  void reportsAFailureWhenNoSocketCanBeOpened() throws Exception {
    AtomicInteger failuresLeft = new AtomicInteger(2);
    PlatformEndpointSource starved =
        new PlatformEndpointSource(
            fixture.server.address(),
            fixture.list,
            new Connector(
                fixture.loop(),
                () -> {
                  if (failuresLeft.getAndDecrement() > 0) {
                    throw new ChannelException("no descriptor left");
                  }
                  return new NioSocketChannel();
                }));
    EndpointUpdates updates = new EndpointUpdates();
    starved.start(updates, EndpointUpdates::ignoreList);
    starved.setWatchEnabled(true);
    assertEquals("FETCH_FAILED", updates.nextDescribed(), "the watch");
    starved.fetch();
    assertEquals("FETCH_FAILED", updates.nextDescribed(), "the fetch");
    starved.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk(message(5, true, entry("s-1", "Ready")));
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", updates.nextDescribed());
    assertEquals(1, updates.threads().size(), "all updates come from the event loop");
    starved.stop();
  }
}
