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
 * Serves proxies and collectors of zones on the operators' platform. It converts their messages to
 * events, and commands to messages that it sends to proxies. Messages are written immediately,
 * because the platform limits the rate of the channel. All methods must be called on one event
 * loop.
 */
public final class PlatformProxyApi implements LineHandler {
  /**
   * Maximum number of connections of a zone's collector. It includes dead connections whose end has
   * not been detected.
   */
  public static final int MAX_COLLECTORS_PER_ZONE = 4;

  private static final Logger LOG = LoggerFactory.getLogger(PlatformProxyApi.class);

  /**
   * Maximum number of known endpoints. It exceeds the maximum size of the endpoint list, so that
   * recently removed endpoints stay known.
   */
  private static final int MAX_KNOWN_ENDPOINTS = 60_000;

  /** Maximum number of dropped messages that are logged; later ones are only counted. */
  private static final int MAX_LOGGED_DROPS = 50;

  private final PlatformMessageCodec codec;
  private final int requestClassCount;
  private final Consumer<Event> eventConsumer;

  /** Sessions of connected proxies, by proxy number. */
  private final TreeMap<Integer, ProxySession> sessions = new TreeMap<>();

  /** Endpoints that this instance has excluded at each proxy, in all of its sessions. */
  private final Map<ProxyId, Set<EndpointId>> excludedEndpointsByProxy = new HashMap<>();

  private final CollectorConnections collectors = new CollectorConnections(MAX_COLLECTORS_PER_ZONE);
  private final KnownEndpoints knownEndpoints = new KnownEndpoints(MAX_KNOWN_ENDPOINTS);
  private RouteTables tables;

  /** Whether discovery has provided a list since the start. */
  private boolean listReceived;

  private long droppedMessageCount;

  /**
   * Creates an API that has no connections.
   *
   * @param proxyCount the number of proxies in the settings; proxies are numbered from 0
   * @param eventConsumer receives the events, on the event loop
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
      connection.close(
          "the peer sent a message of unknown kind: " + LineMessage.printable(message.kind()));
    } else {
      try {
        handlePeerMessage(peer, message);
      } catch (InvalidMessageException e) {
        dropMessage(peer, message, e.getMessage());
      }
    }
  }

  /** Handles the first message: completes the handshake, or closes the connection. */
  private void handleFirstMessage(LineConnection connection, LineMessage message) {
    try {
      switch (message.kind()) {
        case PlatformMessageCodec.SUBSCRIBE ->
            acceptProxy(connection, codec.readSubscribe(message));
        case PlatformMessageCodec.SOURCE ->
            acceptCollector(connection, new Collector(codec.readSource(message)));
        // The refusal calls SUBSCRIBE and SOURCE the joining of a peer.
        default -> connection.close("no joining before " + LineMessage.printable(message.kind()));
      }
    } catch (InvalidMessageException e) {
      connection.close(e.getMessage());
    }
  }

  private void acceptProxy(LineConnection connection, Event.ProxyConnected connectedEvent) {
    ProxySession earlierSession = sessions.get(connectedEvent.proxy().number());
    if (earlierSession != null) {
      // Calls handleClosed(), which emits the event that the proxy disconnected.
      earlierSession.connection().close("replaced by a newer session of the proxy");
    }
    startSession(connection, connectedEvent);
  }

  private void startSession(LineConnection connection, Event.ProxyConnected connectedEvent) {
    Set<EndpointId> excluded =
        excludedEndpointsByProxy.computeIfAbsent(connectedEvent.proxy(), proxy -> new HashSet<>());
    ProxyExclusions exclusions = new ProxyExclusions(excluded, !connectedEvent.withoutTables());
    ProxyRouteState routeState = new ProxyRouteState(requestClassCount, tables, exclusions);
    ProxySession session = new ProxySession(connectedEvent, connection, routeState);
    sessions.put(connectedEvent.proxy().number(), session);
    connection.setSession(session);
    tables.addProxy(connectedEvent.proxy(), Optional.empty());
    eventConsumer.accept(connectedEvent);
  }

  private void acceptCollector(LineConnection connection, Collector collector) {
    connection.setSession(collector);
    collectors
        .add(collector.zone(), connection)
        .ifPresent(oldest -> oldest.close("replaced by newer connections of the zone's collector"));
  }

  private void handlePeerMessage(PlatformPeer sender, LineMessage message) {
    switch (message.kind()) {
      case PlatformMessageCodec.LOAD -> handleLoad(sender, message);
      case PlatformMessageCodec.RATE -> handleRate(sender, message);
      case PlatformMessageCodec.ACK -> handleAck(sender, message);
      case PlatformMessageCodec.PONG -> {
        // The response to a keep-alive needs no action.
      }
      default ->
          throw new InvalidMessageException(message.kind(), "not allowed after the handshake");
    }
  }

  private void handleLoad(PlatformPeer sender, LineMessage message) {
    if (!(sender instanceof Collector)) {
      throw new InvalidMessageException(message.kind(), "allowed from collectors only");
    }
    Event.EndpointOutcomes outcomes = codec.readLoad(message);
    // Proxies close their session when they receive a command for an endpoint that never existed.
    if (knownEndpoints.contains(outcomes.endpoint())) {
      eventConsumer.accept(outcomes);
    } else if (listReceived) {
      throw PlatformMessageCodec.unlistedEndpoint();
    } else {
      eventConsumer.accept(new Event.UnlistedEndpointOutcomes(outcomes));
    }
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
    if (droppedMessageCount++ < MAX_LOGGED_DROPS) {
      LOG.warn(
          "message from {} dropped: {}; message: {}",
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

  /**
   * Applies a change of the endpoint list; reports about its endpoints are accepted from now on.
   */
  public void updateEndpointList(Event.EndpointListUpdate update) {
    listReceived |=
        update.kind() == Event.ListUpdateKind.SNAPSHOT
            || update.kind() == Event.ListUpdateKind.DELTA;
    for (EndpointId evicted : knownEndpoints.add(update.endpoints())) {
      excludedEndpointsByProxy.values().forEach(excluded -> excluded.remove(evicted));
      tables.discardExclusion(evicted);
    }
  }

  /**
   * Resets the state after the decision engine restarted. The tables, limits and exclusions of the
   * earlier engine are discarded, and a new session starts on the connection of each connected
   * proxy. The event of each session says that the proxy may have tables of unknown content.
   */
  public void handleEngineRestart() {
    tables = new RouteTables(requestClassCount);
    for (ProxySession session : List.copyOf(sessions.values())) {
      Event.ProxyConnected connectedEvent = session.connectedEvent();
      startSession(
          session.connection(),
          new Event.ProxyConnected(
              connectedEvent.proxy(),
              connectedEvent.zone(),
              connectedEvent.requestsPerSecond(),
              false));
    }
  }

  /**
   * Executes the commands of an event batch: sends one message to each proxy that they affect.
   *
   * @param nowDeciMillis the current time, in {@link stonespring.model.DeciMillis}
   */
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
      LOG.debug(
          "sending to {} a message with {} entries: {}",
          session,
          message.entries(),
          String.join(" | ", lines));
    }
    session.connection().write(String.join("\r\n", lines) + "\r\n");
  }

  /** Returns the number of connected proxies. */
  public int connectedProxyCount() {
    return sessions.size();
  }

  /** Returns the number of invalid messages of known peers that were dropped since the start. */
  public long droppedMessageCount() {
    return droppedMessageCount;
  }

  boolean isConnected(ProxyId proxy) {
    return sessions.containsKey(proxy.number());
  }
}
