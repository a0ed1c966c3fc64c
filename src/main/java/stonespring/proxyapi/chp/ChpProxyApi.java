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
import stonespring.proxyapi.ProxyMessageCodec;
import stonespring.proxyapi.ProxyMessageHandler;
import stonespring.state.KeySnapshot;
import stonespring.state.KeyUpdate;
import stonespring.zmtp.ZmtpConnection;

/**
 * Serves proxies over CHP. It sends published keys to proxies, and passes the keys that proxies set
 * to a {@link ProxyMessageHandler}: {@code /presence/NAME} with a ttl, {@code /up/NAME/report} and
 * {@code /up/NAME/answer}. All calls for a connection come from the connection's event loop. An
 * invalid message causes an {@link InvalidChpMessageException}, which closes the connection.
 */
public final class ChpProxyApi implements ChpBackend {
  private static final String PRESENCE = "presence";
  private static final String UPSTREAM = "up";
  private static final String REPORT = "report";
  private static final String ACKNOWLEDGEMENT = "answer";
  private static final String LEASE_SECONDS = "ttl";

  /** With a longer lease, a proxy that crashed could not reconnect under its name for hours. */
  private static final int MAX_LEASE_SECONDS = 3600;

  private static final Pattern LEASE_PATTERN = Pattern.compile("[0-9]{1,6}");

  /** Maximum number of pending snapshots of one peer; a client requests one at a time. */
  private static final int MAX_PENDING_SNAPSHOTS = 4;

  private static final String OVERLOADED =
      "message refused: too many messages are queued; the peer must connect again";

  private static final AttributeKey<CollectorConnection> CONNECTION =
      AttributeKey.valueOf("stonespring.connection");
  private static final AttributeKey<AtomicInteger> PENDING_SNAPSHOTS =
      AttributeKey.valueOf("stonespring.pendingSnapshots");

  private final ProxyMessageHandler handler;
  private final ProxyMessageCodec codec;

  /** Creates an API that passes the messages of proxies to the given handler. */
  public ChpProxyApi(ProxyMessageHandler handler, NameTable names) {
    this.handler = handler;
    this.codec = new ProxyMessageCodec(names);
  }

  /** Returns the messages that publish the given updates. */
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
    AtomicInteger pendingCount = pendingSnapshots(peer);
    if (pendingCount.incrementAndGet() > MAX_PENDING_SNAPSHOTS) {
      throw new InvalidChpMessageException(
          "ICANHAZ: more than " + MAX_PENDING_SNAPSHOTS + " snapshots are pending for this peer");
    }
    boolean accepted =
        handler.requestSnapshot(
            subtree,
            snapshot -> {
              sendSnapshot(peer, subtree, snapshot);
              pendingCount.decrementAndGet();
            });
    if (!accepted) {
      throw new InvalidChpMessageException(OVERLOADED);
    }
  }

  private static AtomicInteger pendingSnapshots(ZmtpConnection peer) {
    AtomicInteger pendingCount = peer.channel().attr(PENDING_SNAPSHOTS).get();
    if (pendingCount == null) {
      pendingCount = new AtomicInteger();
      peer.channel().attr(PENDING_SNAPSHOTS).set(pendingCount);
    }
    return pendingCount;
  }

  private static void sendSnapshot(ZmtpConnection peer, String subtree, KeySnapshot snapshot) {
    for (KeyUpdate key : snapshot.keys()) {
      peer.writeMessage(new ChpMessage.KvSync(key.key(), key.sequence(), key.value()).frames());
    }
    peer.writeMessageAndFlush(new ChpMessage.Kthxbai(snapshot.sequence(), subtree).frames());
  }

  @Override
  public void keySet(ZmtpConnection peer, ChpMessage.KvSet set) {
    CollectorConnection connection = collectorConnection(peer);
    boolean accepted;
    try {
      connection.beforeQueueing();
      accepted = handleKeySet(set, connection);
    } catch (InvalidMessageException e) {
      throw new InvalidChpMessageException("KVSET " + set.key() + ": " + e.getMessage());
    }
    if (!accepted) {
      throw new InvalidChpMessageException(OVERLOADED);
    }
  }

  private static CollectorConnection collectorConnection(ZmtpConnection peer) {
    CollectorConnection connection = peer.channel().attr(CONNECTION).get();
    if (connection == null) {
      connection = new CollectorConnection(peer);
      peer.channel().attr(CONNECTION).set(connection);
    }
    return connection;
  }

  private boolean handleKeySet(ChpMessage.KvSet set, CollectorConnection connection) {
    String[] segments = set.key().substring(1).split("/");
    if (segments.length == 2 && segments[0].equals(PRESENCE)) {
      return handlePresence(segments[1], set, connection);
    }
    if (segments.length == 3 && segments[0].equals(UPSTREAM)) {
      if (segments[2].equals(REPORT)) {
        return handler.handleReport(segments[1], codec.readReport(set.value()), connection);
      }
      if (segments[2].equals(ACKNOWLEDGEMENT)) {
        return handler.handleAcknowledgement(
            segments[1], codec.readAcknowledgement(set.value()), connection);
      }
    }
    throw new InvalidChpMessageException("KVSET: clients must not set the key " + set.key());
  }

  private boolean handlePresence(
      String proxy, ChpMessage.KvSet set, CollectorConnection connection) {
    if (set.value().length == 0) {
      throw new InvalidChpMessageException(
          "KVSET "
              + set.key()
              + ": the value is empty; to end its presence,"
              + " a proxy lets the ttl expire or closes the connection");
    }
    return handler.handleHello(
        proxy,
        codec.readHello(set.value()),
        leaseSeconds(set.properties()) * DeciMillis.SECOND,
        connection);
  }

  private static long leaseSeconds(Map<String, String> properties) {
    String text = properties.getOrDefault(LEASE_SECONDS, "");
    int seconds = LEASE_PATTERN.matcher(text).matches() ? Integer.parseInt(text) : 0;
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
      handler.handleConnectionClosed(connection);
    }
  }
}
