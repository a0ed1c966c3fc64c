package stonespring.proxyapi.chp;

import io.netty.util.AttributeKey;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import stonespring.chp.ChpBackend;
import stonespring.chp.ChpMessage;
import stonespring.chp.InvalidChpMessageException;
import stonespring.model.DeciMillis;
import stonespring.proxyapi.InvalidMessageException;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.ProxyConnection;
import stonespring.proxyapi.ProxyMessageCodec;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.state.KeySnapshot;
import stonespring.state.KeyUpdate;
import stonespring.zmtp.ZmtpConnection;

/**
 * Serves proxies over CHP: published keys go out, keys that proxies set are handed to a {@link
 * ProxyMessageHandler}. Proxies set {@code /presence/NAME} with a ttl, {@code /up/NAME/report} and
 * {@code /up/NAME/answer}. Calls of one connection come from its event loop; a wrong message is a
 * {@link InvalidChpMessageException}, which closes the connection.
 */
public final class ChpProxyApi implements ChpBackend {
  private static final String PRESENCE = "presence";
  private static final String UPWARDS = "up";
  private static final String REPORT = "report";
  private static final String ACKNOWLEDGEMENT = "answer";
  private static final String LEASE_SECONDS = "ttl";
  private static final int MAX_LEASE_SECONDS = 3600;
  private static final Pattern LEASE_FORM = Pattern.compile("[0-9]{1,6}");

  /** Snapshots that one peer may wait for. */
  private static final int MAX_PENDING_SNAPSHOTS = 4;

  private static final String OVERLOADED = "too many messages wait to be handled; connect again";

  private static final AttributeKey<CollectorConnection> CONNECTION =
      AttributeKey.valueOf("stonespring.connection");
  private static final AttributeKey<AtomicInteger> PENDING_SNAPSHOTS =
      AttributeKey.valueOf("stonespring.pendingSnapshots");

  /** One connection to the collector socket. */
  private record CollectorConnection(ZmtpConnection peer) implements ProxyConnection {
    @Override
    public void close(String reason) {
      peer.close(reason);
    }
  }

  private final ProxyMessageHandler handler;
  private final ProxyMessageCodec codec;

  /** Creates the API; messages go to the handler. */
  public ChpProxyApi(ProxyMessageHandler handler, NameTable names) {
    this.handler = handler;
    this.codec = new ProxyMessageCodec(names);
  }

  /** The messages that publish these updates. */
  public static List<ChpMessage.KvPub> publications(List<KeyUpdate> updates) {
    return updates.stream().map(ChpProxyApi::publication).toList();
  }

  private static ChpMessage.KvPub publication(KeyUpdate update) {
    return new ChpMessage.KvPub(
        update.key(),
        update.sequence(),
        ChpMessage.EMPTY_FRAME,
        ChpMessage.EMPTY_FRAME,
        update.value());
  }

  @Override
  public void snapshotRequested(ZmtpConnection peer, String subtree) {
    AtomicInteger pending = pendingSnapshots(peer);
    if (pending.incrementAndGet() > MAX_PENDING_SNAPSHOTS) {
      throw new InvalidChpMessageException(
          "ICANHAZ: over " + MAX_PENDING_SNAPSHOTS + " snapshots are requested at once");
    }
    boolean accepted =
        handler.snapshot(
            subtree,
            snapshot -> {
              send(peer, subtree, snapshot);
              pending.decrementAndGet();
            });
    if (!accepted) {
      throw new InvalidChpMessageException(OVERLOADED);
    }
  }

  private static AtomicInteger pendingSnapshots(ZmtpConnection peer) {
    AtomicInteger pending = peer.channel().attr(PENDING_SNAPSHOTS).get();
    if (pending == null) {
      pending = new AtomicInteger();
      peer.channel().attr(PENDING_SNAPSHOTS).set(pending);
    }
    return pending;
  }

  private static void send(ZmtpConnection peer, String subtree, KeySnapshot snapshot) {
    for (KeyUpdate key : snapshot.keys()) {
      peer.writeMessage(new ChpMessage.KvSync(key.key(), key.sequence(), key.value()).frames());
    }
    peer.writeMessageAndFlush(new ChpMessage.Kthxbai(snapshot.sequence(), subtree).frames());
  }

  @Override
  public void keySet(ZmtpConnection peer, ChpMessage.KvSet set) {
    boolean accepted;
    try {
      accepted = handle(set, connection(peer));
    } catch (InvalidMessageException e) {
      throw new InvalidChpMessageException("KVSET " + set.key() + ": " + e.getMessage());
    }
    if (!accepted) {
      throw new InvalidChpMessageException(OVERLOADED);
    }
  }

  private static CollectorConnection connection(ZmtpConnection peer) {
    CollectorConnection connection = peer.channel().attr(CONNECTION).get();
    if (connection == null) {
      connection = new CollectorConnection(peer);
      peer.channel().attr(CONNECTION).set(connection);
    }
    return connection;
  }

  private boolean handle(ChpMessage.KvSet set, CollectorConnection connection) {
    String[] segments = set.key().substring(1).split("/");
    if (segments.length == 2 && segments[0].equals(PRESENCE)) {
      return handlePresence(segments[1], set, connection);
    }
    if (segments.length == 3 && segments[0].equals(UPWARDS)) {
      if (segments[2].equals(REPORT)) {
        return handler.reported(segments[1], codec.readReport(set.value()), connection);
      }
      if (segments[2].equals(ACKNOWLEDGEMENT)) {
        return handler.acknowledged(
            segments[1], codec.readAcknowledgement(set.value()), connection);
      }
    }
    throw new InvalidChpMessageException(
        "KVSET: key " + set.key() + " is not one that clients set");
  }

  private boolean handlePresence(
      String proxy, ChpMessage.KvSet set, CollectorConnection connection) {
    if (set.value().length == 0) {
      throw new InvalidChpMessageException(
          "KVSET " + set.key() + ": presence ends by its ttl or its connection");
    }
    return handler.hello(
        proxy,
        codec.readHello(set.value()),
        leaseSeconds(set.properties()) * DeciMillis.SECOND,
        connection);
  }

  private static long leaseSeconds(Map<String, String> properties) {
    String text = properties.getOrDefault(LEASE_SECONDS, "");
    int seconds = LEASE_FORM.matcher(text).matches() ? Integer.parseInt(text) : 0;
    if (seconds < 1 || seconds > MAX_LEASE_SECONDS) {
      throw new InvalidChpMessageException(
          "presence: property '"
              + LEASE_SECONDS
              + "' is not a number of seconds from 1 to "
              + MAX_LEASE_SECONDS);
    }
    return seconds;
  }

  @Override
  public void collectorClosed(ZmtpConnection peer) {
    CollectorConnection connection = peer.channel().attr(CONNECTION).get();
    if (connection != null) {
      handler.connectionClosed(connection);
    }
  }
}
