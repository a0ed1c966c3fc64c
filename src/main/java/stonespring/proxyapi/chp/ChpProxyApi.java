package stonespring.proxyapi.chp;

import io.netty.util.AttributeKey;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import stonespring.chp.ChpBackend;
import stonespring.chp.ChpMessage;
import stonespring.chp.InvalidChpMessageException;
import stonespring.model.DeciMillis;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.ProxyMessageCodec;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyHello;
import stonespring.zmtp.ZmtpConnection;

/**
 * The pub-sub front: the published state as CHP messages, and what proxies set at the collector as
 * words for the intake. Keys that proxies set: {@code /presence/NAME} with a ttl, {@code
 * /up/NAME/report}, {@code /up/NAME/answer}.
 */
public final class ChpProxyApi implements ChpBackend {
  private static final AttributeKey<Source> SOURCE = AttributeKey.valueOf("stonespring.source");
  private static final AttributeKey<AtomicInteger> ASKS = AttributeKey.valueOf("stonespring.asks");
  private static final int ASKS_MOST =
      4; // snapshots that one peer may wait for; a follower waits for one
  private static final int TTL_MOST = 3600; // s; longer, a dead proxy would hold its name for hours

  /** One collector connection. */
  private record Source(ZmtpConnection peer) implements ProxyMessageHandler.Origin {
    @Override
    public void end(String cause) {
      peer.close(cause);
    }
  }

  private final ProxyMessageHandler intake;
  private final ProxyMessageCodec words;

  public ChpProxyApi(ProxyMessageHandler intake, NameTable names) {
    this.intake = intake;
    this.words = new ProxyMessageCodec(names);
  }

  /** An update of the state as this front publishes it. */
  public static ChpMessage.KvPub publication(KeyUpdate update) {
    return new ChpMessage.KvPub(
        update.key(), update.sequence(), ChpMessage.NONE, ChpMessage.NONE, update.value());
  }

  public static List<ChpMessage.KvPub> publications(List<KeyUpdate> updates) {
    return updates.stream().map(ChpProxyApi::publication).toList();
  }

  @Override
  public void snapshotRequested(ZmtpConnection peer, String subtree) {
    AtomicInteger asks = peer.channel().attr(ASKS).get();
    if (asks == null) {
      peer.channel().attr(ASKS).set(asks = new AtomicInteger());
    }
    if (asks.incrementAndGet() > ASKS_MOST) {
      throw new InvalidChpMessageException(
          "ICANHAZ: over " + ASKS_MOST + " snapshots asked at once");
    }
    AtomicInteger waiting = asks;
    boolean taken =
        intake.snapshot(
            subtree,
            (keys, sequence) -> {
              for (KeyUpdate key : keys) {
                peer.send(new ChpMessage.KvSync(key.key(), key.sequence(), key.value()).frames());
              }
              peer.sendNow(new ChpMessage.Kthxbai(sequence, subtree).frames());
              waiting.decrementAndGet();
            });
    if (!taken) {
      throw new InvalidChpMessageException("too much waits to be looked at; come again");
    }
  }

  @Override
  public void keySet(ZmtpConnection peer, ChpMessage.KvSet set) {
    Source source = peer.channel().attr(SOURCE).get();
    if (source == null) {
      peer.channel().attr(SOURCE).set(source = new Source(peer));
    }
    String[] segments = set.key().substring(1).split("/");
    boolean taken;
    try {
      taken = taken(segments, set, source);
    } catch (ProxyMessageCodec.BadWord e) {
      throw new InvalidChpMessageException("KVSET " + set.key() + ": " + e.getMessage());
    }
    if (!taken) {
      throw new InvalidChpMessageException("too much waits to be looked at; come again");
    }
  }

  private boolean taken(String[] segments, ChpMessage.KvSet set, Source source) {
    if (segments.length == 2 && segments[0].equals("presence")) {
      return presence(segments[1], set, source);
    }
    if (segments.length == 3 && segments[0].equals("up")) {
      if (segments[2].equals("report")) {
        ProxyMessageCodec.Report report = words.report(set.value());
        return intake.reported(segments[1], report.span(), report.met(), report.came(), source);
      }
      if (segments[2].equals("answer")) {
        ProxyMessageCodec.Answer answer = words.answer(set.value());
        return intake.answered(segments[1], answer.stream(), answer.mark(), answer.took(), source);
      }
    }
    throw new InvalidChpMessageException(
        "KVSET: key " + set.key() + " is not one that clients set");
  }

  private boolean presence(String proxy, ChpMessage.KvSet set, Source source) {
    if (set.value().length == 0) {
      throw new InvalidChpMessageException(
          "KVSET " + set.key() + ": presence ends by its ttl or its connection");
    }
    ProxyHello hello = words.hello(set.value());
    return intake.hello(proxy, hello, ttl(set.properties()) * DeciMillis.SECOND, source);
  }

  private static long ttl(Map<String, String> properties) {
    String word = properties.getOrDefault("ttl", "");
    if (!word.matches("[0-9]{1,6}")
        || Integer.parseInt(word) < 1
        || Integer.parseInt(word) > TTL_MOST) {
      throw new InvalidChpMessageException(
          "presence: property 'ttl' is not a number of seconds from 1 to " + TTL_MOST);
    }
    return Integer.parseInt(word);
  }

  @Override
  public void collectorClosed(ZmtpConnection peer) {
    Source source = peer.channel().attr(SOURCE).get();
    if (source != null) {
      intake.closed(source);
    }
  }
}
