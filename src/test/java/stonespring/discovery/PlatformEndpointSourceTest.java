package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stonespring.http.CallByHand;
import stonespring.http.Dialer;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/** The platform's list against a stand-in that answers by hand, and fails in each way. */
final class PlatformEndpointSourceTest {
  private static final int WAIT = 10_000; // ms; an upper bound, every wait ends with its event
  private static final String HEAD = CallByHand.CHUNKS;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<Event.EndpointListUpdate> told = new LinkedBlockingQueue<>();
  private final PlatformEndpointCodec entries =
      new PlatformEndpointCodec(List.of("west", "east"), 500);
  private final List<AutoCloseable> open = new ArrayList<>();
  private ServerSocket discovery;
  private PlatformEndpointSource source;

  private CallByHand call(ServerSocket server) throws IOException {
    CallByHand call = new CallByHand(server);
    open.add(call);
    return call;
  }

  private ServerSocket server() throws IOException {
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress("127.0.0.1", 0));
    server.setSoTimeout(WAIT);
    open.add(server);
    return server;
  }

  private static InetSocketAddress at(ServerSocket server) {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  @BeforeEach
  void start() throws Exception {
    discovery = server();
    source = new PlatformEndpointSource(at(discovery), entries, (EventLoop) loops.next());
    source.start(told::add, list -> {});
  }

  @AfterEach
  void stop() throws Exception {
    source.stop();
    for (AutoCloseable one : open) {
      one.close();
    }
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String host(String name, String health) {
    return "{\"host\":\""
        + name
        + "\",\"dial\":\"10.1.0.18:7070\",\"site\":\"east\",\"class\":\"m2\",\"block\":3,\"health\":\""
        + health
        + "\",\"share\":1.5,\"born_ms\":1000}";
  }

  private static String object(int version, boolean whole, String... hosts) {
    return "{\"seq\":"
        + version
        + ",\"whole\":"
        + whole
        + ",\"hosts\":["
        + String.join(",", hosts)
        + "]}\n";
  }

  private Event.EndpointListUpdate next() throws InterruptedException {
    Event.EndpointListUpdate event = told.poll(WAIT, TimeUnit.MILLISECONDS);
    assertNotNull(event);
    return event;
  }

  private static String words(Event.EndpointListUpdate event) {
    StringBuilder words = new StringBuilder(event.kind().name());
    for (EndpointRecord l : event.endpoints()) {
      words
          .append(' ')
          .append(l.endpoint().name())
          .append('/')
          .append(l.state())
          .append('/')
          .append(l.zone().index())
          .append('/')
          .append(l.weight())
          .append('/')
          .append(l.startedAt());
    }
    return words.toString();
  }

  private void knows(int version) throws IOException {
    Event.EndpointListUpdate last =
        source.lastSeen(new ObjectMapper().readTree(object(version, true, host("s-1", "Ready"))));
    assertEquals(
        "CACHED s-1/READY/1/1.5/9500",
        words(last),
        "born by the wall clock, told by the instance's");
  }

  @Test
  void aWatchTellsWhatChangedInWhateverPiecesItComes() throws Exception {
    knows(41);
    source.follow(true);
    CallByHand watch = call(discovery);
    assertEquals("/registry/instances?stream=1&index=41", watch.target);
    String first = object(43, false, host("s-1", "Terminating"), host("s-2", "Ready"));
    watch
        .raw(HEAD)
        .chunk(first.substring(0, 30))
        .chunk(first.substring(30))
        .chunk("\n")
        .chunk("\r\n");
    assertEquals("DELTA s-1/DRAINING/1/1.5/9500 s-2/READY/1/1.5/9500", words(next()));
    watch.chunk(object(44, false, host("s-1", "Gone")) + object(45, true, host("s-3", "Ready")));
    assertEquals("DELTA s-1/REMOVED/1/1.5/9500", words(next()));
    assertEquals("SNAPSHOT s-3/READY/1/1.5/9500", words(next()));
    assertTrue(told.isEmpty(), "a sign of life says nothing");
  }

  @Test
  void everyWayAWatchFailsIsToldOnceAndTheNextGoesOnWhereItStood() throws Exception {
    knows(41);
    String[] failures = {
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
      HEAD + "3\r\n{x\n\r\n",
      HEAD + "0\r\n\r\n",
      "rubbish\r\n",
      HEAD + "5\r\n[1]\r\n\r\n",
      HEAD + "c\r\n{\"seq\":\"a\"}\n\r\n"
    };
    for (String failure : failures) {
      source.follow(true);
      CallByHand watch = call(discovery).raw(failure);
      assertEquals("/registry/instances?stream=1&index=41", watch.target);
      assertEquals("FETCH_FAILED", words(next()), failure);
    }
    source.follow(true);
    call(discovery).socket.close();
    assertEquals("FETCH_FAILED", words(next()), "a reset");
    source.follow(true);
    CallByHand half = call(discovery).raw(HEAD).chunk("{\"seq\":50,\"who");
    half.socket.close();
    assertEquals("FETCH_FAILED", words(next()), "half an object");
    source.follow(true);
    CallByHand back = call(discovery);
    assertEquals(
        "/registry/instances?stream=1&index=41", back.target, "half an object moved nothing");
    back.raw(HEAD).chunk(object(7, false));
    assertEquals("FETCH_FAILED", words(next()), "the version went back");
    source.follow(true);
    assertEquals(
        "/registry/instances?stream=1&index=0",
        call(discovery).target,
        "only a whole list tells what was missed");
    source.follow(false);
    assertTrue(told.isEmpty());
  }

  @Test
  void silenceIsAFailure() throws Exception {
    source.follow(true);
    call(discovery).raw(HEAD).chunk("\n");
    long began = System.nanoTime();
    assertEquals("FETCH_FAILED", words(next()));
    assertTrue(
        System.nanoTime() - began > 2_000_000_000L, "not before it was due to say something");
  }

  @Test
  void aBadEntryIsLeftOutAndTheOneHeldStays() throws Exception {
    knows(41);
    source.follow(true);
    CallByHand watch = call(discovery).raw(HEAD);
    for (String[] spoil :
        new String[][] {
          {"\"site\":\"east\"", "\"site\":\"mars\""},
          {"\"health\":\"Ready\"", "\"health\":\"?\""},
          {"\"share\":1.5", "\"share\":-1"},
          {"\"share\":1.5", "\"share\":\"x\""},
          {"\"born_ms\":1000", "\"born_ms\":1e300"},
          {"\"born_ms\":1000", "\"born_ms\":-1"}
        }) {
      watch.chunk(
          object(50, true, host("s-1", "Ready").replace(spoil[0], spoil[1]), host("s-2", "Ready")));
      assertEquals("SNAPSHOT s-1/READY/1/1.5/9500 s-2/READY/1/1.5/9500", words(next()), spoil[1]);
    }
    for (String name : new String[] {"\"a b\"", "\"a,b\"", "\"a:b\"", "\"\"", "7"}) {
      watch.chunk(object(51, false, host("s-9", "Ready").replace("\"s-9\"", name)));
      assertEquals("DELTA", words(next()), name);
    }
    assertEquals(11, entries.leftOut());
    assertEquals(2, source.held().size());
  }

  @Test
  void theNewAddressIsAskedBeforeTheOldIsClosed() throws Exception {
    source.follow(true);
    CallByHand old = call(discovery).raw(HEAD).chunk(object(5, true, host("s-1", "Ready")));
    next();
    ServerSocket other = server();
    source.moveTo(at(other));
    CallByHand moved = call(other);
    assertEquals("/registry/instances?stream=1&index=5", moved.target);
    old.chunk(object(6, false, host("s-2", "Ready")));
    assertEquals("DELTA s-2/READY/1/1.5/9500", words(next()), "the old one still tells");
    moved.raw(HEAD).chunk(object(6, false, host("s-2", "Ready")));
    assertEquals("DELTA s-2/READY/1/1.5/9500", words(next()));
    assertEquals(-1, old.socket.getInputStream().read(), "now it is closed");
    moved.socket.close();
    assertEquals("FETCH_FAILED", words(next()), "one failure, of the new one");
    source.follow(true);
    assertNotNull(call(other));
  }

  @Test
  void aMoveThatFailsIsTriedAgainWhileTheOldOneLasts() throws Exception {
    source.follow(true);
    CallByHand old = call(discovery).raw(HEAD).chunk(object(5, true, host("s-1", "Ready")));
    next();
    ServerSocket other = server();
    source.moveTo(at(other));
    call(other).raw("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    CallByHand again = call(other);
    old.socket.close(); // the old one ends while the new one has not answered
    again.raw(HEAD).chunk(object(6, false, host("s-2", "Ready")));
    assertEquals("DELTA s-2/READY/1/1.5/9500", words(next()), "and nothing failed");
  }

  @Test
  void theWholeListIsAskedOnce() throws Exception {
    source.fetch();
    String body = object(9, true, host("s-1", "Ready"));
    CallByHand call = call(discovery);
    assertEquals("/registry/instances", call.target);
    call.raw("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", words(next()));
    source.fetch();
    call(discovery).socket.close();
    assertEquals("FETCH_FAILED", words(next()));
  }

  private static String answer(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /**
   * Asked before, answered after: the stand-in holds the whole list back until the watch has told a
   * newer object.
   */
  @Test
  void aWholeListThatANewerObjectOvertookTakesNothingBack() throws Exception {
    source.follow(true);
    CallByHand watch = call(discovery).raw(HEAD).chunk(object(41, true, host("s-1", "Ready")));
    next();
    source.fetch();
    CallByHand asked = call(discovery);
    watch.chunk(object(43, false, host("s-1", "Terminating"), host("s-2", "Ready")));
    next();
    asked.raw(answer(object(42, true, host("s-1", "Ready"))));
    Event.EndpointListUpdate whole = next();
    assertEquals(Event.ListUpdateKind.SNAPSHOT, whole.kind());
    assertEquals(
        Set.of("s-1/DRAINING", "s-2/READY"),
        whole.endpoints().stream()
            .map(l -> l.endpoint().name() + "/" + l.state())
            .collect(java.util.stream.Collectors.toSet()),
        "what is held answers it");
    source.fetch();
    CallByHand newer = call(discovery);
    newer.raw(answer(object(45, true, host("s-3", "Ready"))));
    assertEquals("SNAPSHOT s-3/READY/1/1.5/9500", words(next()));
    watch
        .chunk(object(44, false, host("s-3", "Gone")))
        .chunk(object(46, false, host("s-4", "Ready")));
    assertEquals("DELTA", words(next()), "old news of the watch, which goes on");
    assertEquals("DELTA s-4/READY/1/1.5/9500", words(next()));
    assertEquals(2, source.held().size());
  }

  @Test
  void aWholeListOfAnOlderHistoryIsNotMixedWithANewOne() throws Exception {
    source.follow(true);
    CallByHand watch = call(discovery).raw(HEAD).chunk(object(41, true, host("s-1", "Ready")));
    next();
    source.fetch();
    CallByHand asked = call(discovery);
    watch.chunk(object(3, true, host("s-2", "Ready")));
    assertEquals(
        "SNAPSHOT s-2/READY/1/1.5/9500",
        words(next()),
        "discovery started over, and its whole list holds");
    asked.raw(answer(object(42, true, host("s-1", "Ready"))));
    assertEquals("FETCH_FAILED", words(next()));
    assertEquals("s-2", source.held().get(0).endpoint().name());
  }

  /**
   * The old address tells on while the new one, asked from version 5, is on its way with what it
   * had to tell at 6.
   */
  @Test
  void aNewAddressThatTheOldOneOvertookTakesNothingBackAndStays() throws Exception {
    source.follow(true);
    CallByHand old = call(discovery).raw(HEAD).chunk(object(5, true, host("s-1", "Ready")));
    next();
    ServerSocket other = server();
    source.moveTo(at(other));
    CallByHand moved = call(other);
    old.chunk(object(6, false, host("s-1", "Ready")))
        .chunk(object(7, false, host("s-1", "Terminating")));
    next();
    next();
    moved.raw(HEAD).chunk(object(6, false, host("s-1", "Ready")));
    assertEquals("DELTA", words(next()));
    assertEquals(EndpointRecord.State.DRAINING, source.held().get(0).state());
    moved
        .chunk(object(7, false, host("s-1", "Terminating")))
        .chunk(object(8, false, host("s-2", "Ready")));
    assertEquals("DELTA s-1/DRAINING/1/1.5/9500", words(next()));
    assertEquals("DELTA s-2/READY/1/1.5/9500", words(next()));
  }

  /** The stand-in never says a whole object, and never falls silent either. */
  @Test
  void anObjectThatComesByPiecesWithoutEndIsAFailure() throws Exception {
    source.follow(true);
    CallByHand watch = call(discovery).raw(HEAD).chunk("\n").chunk("{\"seq\":5,");
    Event.EndpointListUpdate event = null;
    for (int piece = 0; event == null && piece < 32; piece++) {
      watch.chunk(" ");
      event = told.poll(250, TimeUnit.MILLISECONDS);
    }
    assertNotNull(event, "while the pieces still come");
    assertEquals("FETCH_FAILED", words(event));
    source.follow(true);
    call(discovery).raw(HEAD).chunk(object(5, true, host("s-1", "Ready")));
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", words(next()));
  }

  /**
   * No descriptor is left when the watch, and when a call, is dialed: each is told as failed, and
   * the next one works.
   */
  @Test
  void aDialWithoutADescriptorIsToldAsFailedAndNotNeverAtAll() throws Exception {
    AtomicInteger without = new AtomicInteger(2);
    PlatformEndpointSource starved =
        new PlatformEndpointSource(
            at(discovery),
            entries,
            new Dialer(
                (EventLoop) loops.next(),
                () -> {
                  if (without.getAndDecrement() > 0) {
                    throw new ChannelException("no descriptor left");
                  }
                  return new NioSocketChannel();
                }));
    Set<Thread> tellers = ConcurrentHashMap.newKeySet();
    starved.start(
        event -> {
          tellers.add(Thread.currentThread());
          told.add(event);
        },
        list -> {});
    starved.follow(true);
    assertEquals("FETCH_FAILED", words(next()), "the watch");
    starved.fetch();
    assertEquals("FETCH_FAILED", words(next()), "the call");
    starved.follow(true);
    call(discovery).raw(HEAD).chunk(object(5, true, host("s-1", "Ready")));
    assertEquals("SNAPSHOT s-1/READY/1/1.5/9500", words(next()));
    assertEquals(1, tellers.size(), "all of it is told on the event loop");
    starved.stop();
  }

  /** Tasks come and go under new ids for ever: nothing of those gone is held. */
  @Test
  void thousandsOfReplacedTasksLeaveNothingBehind() throws Exception {
    ObjectMapper json = new ObjectMapper();
    for (int i = 0; i < 5_000; i++) {
      entries.read(json.readTree(object(i, false, host("s-" + i, "Ready"))));
      if (i >= 3) {
        entries.read(json.readTree(object(i, false, host("s-" + (i - 3), "Gone"))));
      }
    }
    assertEquals(3, entries.list().size());
  }
}
