package stonespring.proxyapi.platform;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.line.LineConnection;
import stonespring.line.LineHandler;
import stonespring.line.LineMessage;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.proxyapi.NameTable;
import stonespring.state.ProxyUpdate;
import stonespring.state.RouteTables;

/**
 * The platform's side: proxies' streams and zones' collectors in, events out; orders in, messages
 * on the streams out. The platform has the channel, so nothing is paced here: a message leaves as
 * it is ordered. Lives on one event loop.
 */
public final class PlatformProxyApi implements LineHandler {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformProxyApi.class);
  public static final int COLLECTORS_A_ZONE =
      4; // connections; one, and old ones whose end is not seen yet
  private static final int MARKS_MOST =
      64; // marks that one stream may still answer; more means it never does
  private static final int LISTED_MOST =
      60_000; // tasks; over the most of a list, and of those gone the latest
  private static final int DROPPED_LOGGED = 50; // messages told in the log; the rest are counted

  /** A proxy's stream. */
  private static final class Stream {
    private final Event.ProxyConnected hello;
    private final LineConnection peer;
    private final ProxyRouteState table;
    private final LinkedHashSet<Integer> marks = new LinkedHashSet<>();

    Stream(Event.ProxyConnected hello, LineConnection peer, ProxyRouteState table) {
      this.hello = hello;
      this.peer = peer;
      this.table = table;
    }

    @Override
    public String toString() {
      return "proxy " + hello.proxy().number();
    }
  }

  /** A zone's collector. */
  private record Collector(int zone) {
    @Override
    public String toString() {
      return "the collector of zone " + zone;
    }
  }

  private final PlatformMessageCodec words;
  private final NameTable names;
  private final Consumer<Event> heard;
  private final TreeMap<Integer, Stream> streams = new TreeMap<>();
  private final Map<Integer, TreeSet<String>> shut = new TreeMap<>();
  private final Map<Integer, LinkedHashSet<LineConnection>> collectors = new LinkedHashMap<>();
  private final LinkedHashSet<EndpointId> listed = new LinkedHashSet<>();
  private RouteTables tables;
  private long dropped;

  /**
   * @param heard takes events, on the event loop
   */
  public PlatformProxyApi(NameTable names, int proxies, Consumer<Event> heard) {
    this.words = new PlatformMessageCodec(names, proxies);
    this.names = names;
    this.heard = heard;
    this.tables = new RouteTables(names.opTypes());
  }

  @Override
  public void message(LineConnection peer, LineMessage message) {
    Object known = peer.session();
    if (known == null) {
      unjoined(peer, message);
    } else if (!PlatformMessageCodec.KINDS.contains(message.kind())) {
      peer.close("it goes on with what can't be read: " + LineMessage.printable(message.kind()));
    } else {
      try {
        report(known, message);
      } catch (PlatformMessageCodec.BadWord e) {
        drop(known, message, e.getMessage());
      }
    }
  }

  private void unjoined(LineConnection peer, LineMessage message) {
    try {
      switch (message.kind()) {
        case PlatformMessageCodec.JOIN -> joined(peer, words.join(message));
        case PlatformMessageCodec.COLLECTOR ->
            collector(peer, new Collector(words.collector(message).index()));
        default -> peer.close("no joining before " + LineMessage.printable(message.kind()));
      }
    } catch (PlatformMessageCodec.BadWord e) {
      peer.close(e.getMessage());
    }
  }

  private void joined(LineConnection peer, Event.ProxyConnected hello) {
    int id = hello.proxy().number();
    Stream old = streams.get(id);
    if (old != null) {
      old.peer.close("it came back on a newer stream"); // which tells that it left
    }
    ProxyRouteState table =
        new ProxyRouteState(
            names.opTypes(),
            tables,
            shut.computeIfAbsent(id, i -> new TreeSet<>()),
            !hello.withoutTables());
    Stream stream = new Stream(hello, peer, table);
    streams.put(id, stream);
    peer.setSession(stream);
    tables.joined(hello.proxy(), null);
    heard.accept(hello);
  }

  private void collector(LineConnection peer, Collector collector) {
    LinkedHashSet<LineConnection> ofZone =
        collectors.computeIfAbsent(collector.zone(), z -> new LinkedHashSet<>());
    peer.setSession(collector);
    ofZone.add(peer);
    if (ofZone.size() > COLLECTORS_A_ZONE) {
      ofZone.iterator().next().close("newer collectors of its zone came");
    }
  }

  private void report(Object from, LineMessage message) {
    boolean collector = from instanceof Collector;
    switch (message.kind()) {
      case PlatformMessageCodec.SUMS -> {
        if (!collector) {
          throw new PlatformMessageCodec.BadWord(message, "it is a collector's");
        }
        Event.EndpointOutcomes sums = words.sums(message);
        // A task that no list ever named: a spoilt word, and an order that names it would end
        // streams.
        if (!listed.contains(sums.endpoint())) {
          throw new PlatformMessageCodec.BadWord(
              message, "target", "names a task that was never listed");
        }
        heard.accept(sums);
      }
      case PlatformMessageCodec.OPS -> {
        Event.ProxyRequestRate ops = words.ops(message);
        Stream stream = streams.get(ops.proxy().number());
        if (stream == null || !collector && stream != from) {
          throw new PlatformMessageCodec.BadWord(
              message, "id", "names a proxy that is not joined here");
        }
        heard.accept(ops);
      }
      case PlatformMessageCodec.ANSWER -> {
        Event.UpdateAcknowledged answer = words.answer(message);
        if (collector || ((Stream) from).hello.proxy().number() != answer.proxy().number()) {
          throw new PlatformMessageCodec.BadWord(message, "id", "is not this stream's");
        }
        if (!((Stream) from).marks.remove(answer.ack().number())) {
          throw new PlatformMessageCodec.BadWord(
              message, "seq", "is a mark that waits for no answer");
        }
        heard.accept(answer);
      }
      case "PONG" -> {}
      default -> throw new PlatformMessageCodec.BadWord(message, "it is not to be sent here");
    }
  }

  private void drop(Object from, LineMessage message, String cause) {
    if (dropped++ < DROPPED_LOGGED) {
      LOG.warn(
          "a message of {} is dropped: {} in: {}", from, cause, PlatformMessageCodec.told(message));
    }
  }

  @Override
  public void closed(LineConnection peer) {
    if (peer.session() instanceof Collector collector) {
      collectors.get(collector.zone()).remove(peer);
    } else if (peer.session() instanceof Stream stream
        && streams.remove(stream.hello.proxy().number(), stream)) {
      tables.left(stream.hello.proxy());
      heard.accept(new Event.ProxyDisconnected(stream.hello.proxy()));
    }
  }

  /** What the list says; only tasks that were listed may be named on a stream. */
  public void listTold(Event.EndpointListUpdate told) {
    for (EndpointRecord listing : told.endpoints()) {
      listed.remove(listing.endpoint()); // the latest told stand last
      listed.add(listing.endpoint());
    }
    while (listed.size() > LISTED_MOST) {
      EndpointId oldest = listed.iterator().next();
      listed.remove(oldest);
      shut.values().forEach(of -> of.remove(oldest.name()));
      tables.forget(oldest);
    }
  }

  /**
   * The decisions restart: no table, level or withdrawal of theirs stands; who is joined joins
   * again.
   */
  public void restart() {
    tables = new RouteTables(names.opTypes());
    for (Map.Entry<Integer, Stream> entry : streams.entrySet()) {
      Stream old = entry.getValue();
      Event.ProxyConnected hello =
          new Event.ProxyConnected(
              old.hello.proxy(), old.hello.zone(), old.hello.requestsPerSecond(), false);
      Stream again =
          new Stream(
              hello,
              old.peer,
              new ProxyRouteState(names.opTypes(), tables, shut.get(entry.getKey()), true));
      entry.setValue(again);
      old.peer.setSession(again);
      tables.joined(hello.proxy(), null);
      heard.accept(hello);
    }
  }

  /**
   * Writes what one reply orders: one message for each proxy concerned, never mixed with the next.
   */
  public void carryOut(List<Command> orders, long now) {
    for (ProxyUpdate message : tables.messages(orders, now)) {
      Stream stream = streams.get(message.proxy().number());
      List<String> parts = stream.table.parts(message);
      if (parts.isEmpty()) {
        continue;
      }
      if (message.mark() != null) {
        mark(stream, message.mark());
      }
      if (LOG.isDebugEnabled()) {
        LOG.debug(
            "{}: {} lines: {}", stream, ProxyRouteState.price(parts), String.join(" | ", parts));
      }
      stream.peer.write(String.join("\r\n", parts) + "\r\n");
    }
  }

  private static void mark(Stream stream, AckId mark) {
    if (stream.marks.size() >= MARKS_MOST) {
      stream.marks.remove(stream.marks.iterator().next());
    }
    stream.marks.add(mark.number());
  }

  public int proxiesHere() {
    return streams.size();
  }

  /** Messages of known peers that were dropped, ever. */
  public long dropped() {
    return dropped;
  }

  /** Whether a proxy's stream stands here. */
  boolean here(ProxyId proxy) {
    return streams.containsKey(proxy.number());
  }
}
