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

/** Tests watches of the platform's list and the ways in which they fail. */
final class PlatformEndpointWatchTest {
  @RegisterExtension final PlatformSourceFixture fixture = new PlatformSourceFixture();

  @Test
  void reportsChangesWhenMessagesAreSplitAcrossChunks() throws Exception {
    fixture.loadCachedList(41);
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watch = fixture.server.accept();
    assertEquals("/registry/instances?stream=1&index=41", watch.target());
    String firstMessage = message(43, false, entry("s-1", "Terminating"), entry("s-2", "Ready"));
    watch
        .writeRaw(CHUNKED_HEAD)
        .writeChunk(firstMessage.substring(0, 30))
        .writeChunk(firstMessage.substring(30))
        .writeChunk("\n")
        .writeChunk("\r\n");
    assertEquals(
        "DELTA s-1/DRAINING/1/1.5/9500 s-2/READY/1/1.5/9500", fixture.updates.nextDescription());
    watch.writeChunk(
        message(44, false, entry("s-1", "Gone")) + message(45, true, entry("s-3", "Ready")));
    assertEquals("DELTA s-1/REMOVED/1/1.5/9500", fixture.updates.nextDescription());
    assertEquals("SNAPSHOT s-3/READY/1/1.5/9500", fixture.updates.nextDescription());
    assertTrue(fixture.updates.isEmpty(), "a keep-alive reports nothing");
  }

  @Test
  void reportsEachFailureOnceAndResumesFromHeldVersion() throws Exception {
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
      assertEquals("FETCH_FAILED", fixture.updates.nextDescription(), failure);
    }
    fixture.source.setWatchEnabled(true);
    fixture.server.accept().close();
    assertEquals(
        "FETCH_FAILED",
        fixture.updates.nextDescription(),
        "the connection was closed before the response");
    fixture.source.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk("{\"seq\":50,\"who").close();
    assertEquals(
        "FETCH_FAILED",
        fixture.updates.nextDescription(),
        "the connection was closed in the middle of a message");
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watchWithLowerVersion = fixture.server.accept();
    assertEquals(
        "/registry/instances?stream=1&index=41",
        watchWithLowerVersion.target(),
        "an incomplete message does not change the version");
    watchWithLowerVersion.writeRaw(CHUNKED_HEAD).writeChunk(message(7, false));
    assertEquals(
        "FETCH_FAILED",
        fixture.updates.nextDescription(),
        "a delta with a lower version fails the watch");
    fixture.source.setWatchEnabled(true);
    assertEquals(
        "/registry/instances?stream=1&index=0",
        fixture.server.accept().target(),
        "missed changes require a snapshot");
    fixture.source.setWatchEnabled(false);
    assertTrue(fixture.updates.isEmpty());
  }

  @Test
  void failsWhenServerSendsNothing() throws Exception {
    fixture.source.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk("\n");
    long startNanos = System.nanoTime();
    assertEquals("FETCH_FAILED", fixture.updates.nextDescription());
    assertTrue(
        System.nanoTime() - startNanos > 2_000_000_000L,
        "must not fail before a keep-alive is due");
  }

  /** The server keeps sending pieces of a message that never ends, so that it is never silent. */
  @Test
  void failsWhenMessageIsNeverCompleted() throws Exception {
    fixture.source.setWatchEnabled(true);
    ManualHttpExchange watch =
        fixture.server.acceptWatch().writeChunk("\n").writeChunk("{\"seq\":5,");
    Event.EndpointListUpdate update = null;
    for (int piece = 0; update == null && piece < 32; piece++) {
      watch.writeChunk(" ");
      update = fixture.updates.poll(250);
    }
    assertNotNull(update, "must fail while pieces of the message still arrive");
    assertEquals("FETCH_FAILED", EndpointUpdates.describe(update));
    fixture.source.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk(message(5, true, entry("s-1", "Ready")));
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", fixture.updates.nextDescription());
  }

  @Test
  void skipsInvalidEntriesAndKeepsHeldRecords() throws Exception {
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
          fixture.updates.nextDescription(),
          replacement[1]);
    }
    for (String id : new String[] {"\"a b\"", "\"a,b\"", "\"a:b\"", "\"\"", "7"}) {
      watch.writeChunk(message(51, false, entry("s-9", "Ready").replace("\"s-9\"", id)));
      assertEquals("DELTA", fixture.updates.nextDescription(), id);
    }
    assertEquals(11, fixture.list.invalidEntryCount());
    assertEquals(2, fixture.source.endpoints().size());
  }

  /** The process has run out of file descriptors for the first watch and for the fetch after it. */
  @Test
  void reportsFailureWhenNoSocketCanBeOpened() throws Exception {
    AtomicInteger failuresLeft = new AtomicInteger(2);
    PlatformEndpointSource sourceWithoutSockets =
        new PlatformEndpointSource(
            fixture.server.address(),
            fixture.list,
            new Connector(
                fixture.loop(),
                () -> {
                  if (failuresLeft.getAndDecrement() > 0) {
                    throw new ChannelException("no file descriptor available");
                  }
                  return new NioSocketChannel();
                }));
    EndpointUpdates updates = new EndpointUpdates();
    sourceWithoutSockets.start(updates, EndpointUpdates::ignoreList);
    sourceWithoutSockets.setWatchEnabled(true);
    assertEquals("FETCH_FAILED", updates.nextDescription(), "the watch cannot open a socket");
    sourceWithoutSockets.fetch();
    assertEquals("FETCH_FAILED", updates.nextDescription(), "the fetch cannot open a socket");
    sourceWithoutSockets.setWatchEnabled(true);
    fixture.server.acceptWatch().writeChunk(message(5, true, entry("s-1", "Ready")));
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", updates.nextDescription());
    assertEquals(1, updates.threads().size(), "all updates are reported on the event loop");
    sourceWithoutSockets.stop();
  }
}
