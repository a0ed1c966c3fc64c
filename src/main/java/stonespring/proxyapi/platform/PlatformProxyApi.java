package stonespring.proxyapi.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.line.LineConnection;
import stonespring.line.LineHandler;
import stonespring.line.LineMessage;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.proxyapi.InvalidMessageException;
import stonespring.proxyapi.NameTable;
import stonespring.state.ProxyUpdate;
import stonespring.state.RouteTables;

/**
 * Serves proxies and zones' collectors on the operators' platform: their messages become events,
 * commands become messages on the proxies' sessions. The platform paces the channel, so messages
 * are written at once. All calls come from one event loop.
 */
public final class PlatformProxyApi implements LineHandler {
  /** Connections that a zone's collector may have, those that died unnoticed included. */
  public static final int MAX_COLLECTORS_PER_ZONE = 4;

  private static final Logger LOG = LoggerFactory.getLogger(PlatformProxyApi.class);

  /** More than a list may hold: the listed endpoints, and of the removed ones the latest. */
  private static final int MAX_KNOWN_ENDPOINTS = 60_000;

  /** Dropped messages that are logged one by one. */
  private static final int MAX_LOGGED_DROPS = 50;

  private final PlatformMessageCodec codec;
  private final int requestClassCount;
  private final Consumer<Event> eventConsumer;
  private final TreeMap<Integer, ProxySession> sessions = new TreeMap<>();
  private final Map<ProxyId, Set<EndpointId>> excludedEndpointsByProxy = new HashMap<>();
  private final CollectorConnections collectors = new CollectorConnections(MAX_COLLECTORS_PER_ZONE);
  private final KnownEndpoints knownEndpoints = new KnownEndpoints(MAX_KNOWN_ENDPOINTS);
  private RouteTables tables;
  private long droppedMessages;

  /**
   * Creates the API without connections.
   *
   * @param proxyCount how many proxies the settings have
   * @param eventConsumer takes events, on the event loop
   */
  public PlatformProxyApi(NameTable names, int proxyCount, Consumer<Event> eventConsumer) {
    this.codec = new PlatformMessageCodec(names, proxyCount);
    this.requestClassCount = names.requestClasses().size();
    this.eventConsumer = eventConsumer;
    this.tables = new RouteTables(requestClassCount);
  }

  @Override
  public void handleMessage(LineConnection connection, LineMessage message) {
    if (!(connection.session() instanceof PlatformPeer peer)) {
      handleFirstMessage(connection, message);
    } else if (!PlatformMessageCodec.isKnownKind(message.kind())) {
      connection.close("it sent what can't be read: " + LineMessage.printable(message.kind()));
    } else {
      try {
        handlePeerMessage(peer, message);
      } catch (InvalidMessageException e) {
        dropMessage(peer, message, e.getMessage());
      }
    }
  }

  /** Handles the first message of a connection, which completes its handshake or ends it. */
  private void handleFirstMessage(LineConnection connection, LineMessage message) {
    try {
      switch (message.kind()) {
        case PlatformMessageCodec.SUBSCRIBE ->
            acceptProxy(connection, codec.readSubscribe(message));
        case PlatformMessageCodec.SOURCE ->
            acceptCollector(connection, new Collector(codec.readSource(message)));
        default -> connection.close("no joining before " + LineMessage.printable(message.kind()));
      }
    } catch (InvalidMessageException e) {
      connection.close(e.getMessage());
    }
  }

  private void acceptProxy(LineConnection connection, Event.ProxyConnected hello) {
    ProxySession earlierSession = sessions.get(hello.proxy().number());
    if (earlierSession != null) {
      // Ends in closed(), which reports that it disconnected.
      earlierSession.connection().close("the proxy connected again in a newer session");
    }
    startSession(connection, hello);
  }

  private void startSession(LineConnection connection, Event.ProxyConnected hello) {
    Set<EndpointId> excluded =
        excludedEndpointsByProxy.computeIfAbsent(hello.proxy(), proxy -> new HashSet<>());
    ProxyExclusions exclusions = new ProxyExclusions(excluded, !hello.withoutTables());
    ProxyRouteState routeState = new ProxyRouteState(requestClassCount, tables, exclusions);
    ProxySession session = new ProxySession(hello, connection, routeState);
    sessions.put(hello.proxy().number(), session);
    connection.setSession(session);
    tables.addProxy(hello.proxy(), Optional.empty());
    eventConsumer.accept(hello);
  }

  private void acceptCollector(LineConnection connection, Collector collector) {
    connection.setSession(collector);
    collectors
        .add(collector.zone(), connection)
        .ifPresent(oldest -> oldest.close("newer collectors of its zone connected"));
  }

  private void handlePeerMessage(PlatformPeer sender, LineMessage message) {
    switch (message.kind()) {
      case PlatformMessageCodec.LOAD -> handleLoad(sender, message);
      case PlatformMessageCodec.RATE -> handleRate(sender, message);
      case PlatformMessageCodec.ACK -> handleAck(sender, message);
      case PlatformMessageCodec.PONG -> {
        // A sign of life, no more.
      }
      default -> throw new InvalidMessageException(message.kind(), "it is not to be sent here");
    }
  }

  private void handleLoad(PlatformPeer sender, LineMessage message) {
    if (!(sender instanceof Collector)) {
      throw new InvalidMessageException(message.kind(), "only collectors send it");
    }
    Event.EndpointOutcomes outcomes = codec.readLoad(message);
    // A command for an endpoint that never existed would make proxies close their sessions.
    if (!knownEndpoints.contains(outcomes.endpoint())) {
      throw PlatformMessageCodec.unlistedEndpoint();
    }
    eventConsumer.accept(outcomes);
  }

  private void handleRate(PlatformPeer sender, LineMessage message) {
    Event.ProxyRequestRate rate = codec.readRate(message);
    ProxySession session = sessions.get(rate.proxy().number());
    if (session == null || sender instanceof ProxySession && sender != session) {
      throw PlatformMessageCodec.wrongProxy(message);
    }
    eventConsumer.accept(rate);
  }

  private void handleAck(PlatformPeer sender, LineMessage message) {
    Event.UpdateAcknowledged acknowledged = codec.readAck(message);
    if (!(sender instanceof ProxySession session)
        || !session.proxy().equals(acknowledged.proxy())) {
      throw PlatformMessageCodec.wrongProxy(message);
    }
    if (!session.removePendingAck(acknowledged.ack())) {
      throw PlatformMessageCodec.unrequestedAck();
    }
    eventConsumer.accept(acknowledged);
  }

  private void dropMessage(PlatformPeer sender, LineMessage message, String cause) {
    if (droppedMessages++ < MAX_LOGGED_DROPS) {
      LOG.warn(
          "a message of {} is dropped: {} in: {}",
          sender,
          cause,
          PlatformMessageCodec.describe(message));
    }
  }

  @Override
  public void handleClosed(LineConnection connection) {
    if (connection.session() instanceof Collector collector) {
      collectors.remove(collector.zone(), connection);
    } else if (connection.session() instanceof ProxySession session
        && sessions.remove(session.proxy().number(), session)) {
      tables.removeProxy(session.proxy());
      eventConsumer.accept(new Event.ProxyDisconnected(session.proxy()));
    }
  }

  /** The endpoint list changed: reports about its endpoints are accepted from now on. */
  public void updateEndpointList(Event.EndpointListUpdate update) {
    for (EndpointId evicted : knownEndpoints.add(update.endpoints())) {
      excludedEndpointsByProxy.values().forEach(excluded -> excluded.remove(evicted));
      tables.discardExclusion(evicted);
    }
  }

  /**
   * The decisions restarted: no table, limit or exclusion of theirs stands, and each connected
   * proxy connects anew, with tables that are unknown.
   */
  public void handleEngineRestart() {
    tables = new RouteTables(requestClassCount);
    for (ProxySession session : List.copyOf(sessions.values())) {
      Event.ProxyConnected hello = session.hello();
      startSession(
          session.connection(),
          new Event.ProxyConnected(hello.proxy(), hello.zone(), hello.requestsPerSecond(), false));
    }
  }

  /** Carries out the commands of an event batch: one message for each proxy that they concern. */
  public void execute(List<Command> commands, long nowDeciMillis) {
    for (ProxyUpdate update : tables.apply(commands, nowDeciMillis)) {
      send(update);
    }
  }

  private void send(ProxyUpdate update) {
    ProxySession session = sessions.get(update.proxy().number());
    ConfigMessage message = session.routeState().apply(update);
    if (message.isEmpty()) {
      return;
    }
    message.ack().ifPresent(session::addPendingAck);
    List<String> lines = codec.write(message);
    if (LOG.isDebugEnabled()) {
      LOG.debug("{}: {} entries: {}", session, message.entries(), String.join(" | ", lines));
    }
    session.connection().write(String.join("\r\n", lines) + "\r\n");
  }

  /** How many proxies are connected. */
  public int connectedProxyCount() {
    return sessions.size();
  }

  /** How many messages of known peers were dropped as invalid, ever. */
  public long droppedMessageCount() {
    return droppedMessages;
  }

  boolean isConnected(ProxyId proxy) {
    return sessions.containsKey(proxy.number());
  }
}
