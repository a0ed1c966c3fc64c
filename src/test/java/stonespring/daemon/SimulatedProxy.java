package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import stonespring.model.AckId;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointId;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.model.ZoneId;
import stonespring.proxy.routing.Router;
import stonespring.proxy.routing.RouterSettings;
import stonespring.proxy.routing.TableSubscriber;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;

/** A proxy in virtual time that applies the keys a host publishes and routes requests by them. */
final class SimulatedProxy {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final RouterSettings ROUTER_SETTINGS =
      new RouterSettings(
          List.of(
              new RouterSettings.ClassSettings("view", RetrySafety.IDEMPOTENT, 0),
              new RouterSettings.ClassSettings("extract", RetrySafety.NON_IDEMPOTENT, 0)),
          0,
          0,
          0,
          0,
          RouterSettings.Picking.WEIGHTED,
          AdmissionLimitKind.FRACTION);

  private final String name;
  private final int zone;
  private final Settings.ChannelLimits channelLimits;
  private final TableSubscriber subscriber = new TableSubscriber();
  private final ArrayDeque<Long> updateTimes = new ArrayDeque<>();
  private final List<Integer> pendingAcks = new ArrayList<>();
  private Router router; // null before the first connection
  private RecordingConnection connection; // null while disconnected
  private long streamNumber;
  private long connectedAt;
  private String stream = "";
  private int lostUpdateCount;

  SimulatedProxy(String name, int zone, Settings.ChannelLimits channelLimits) {
    this.name = name;
    this.zone = zone;
    this.channelLimits = channelLimits;
  }

  String name() {
    return name;
  }

  Router router() {
    return router;
  }

  boolean isConnected() {
    return connection != null;
  }

  RecordingConnection connection() {
    return connection;
  }

  long connectedAt() {
    return connectedAt;
  }

  /** Returns the stream of the last applied update. */
  String stream() {
    return stream;
  }

  /** Returns the number of lost updates, each of which made the proxy apply a new snapshot. */
  int lostUpdateCount() {
    return lostUpdateCount;
  }

  boolean isStarted() {
    return router != null;
  }

  /** Starts with a bootstrap table. */
  void start(long seed, List<EndpointId> bootstrapRoutes) {
    router = new Router(ROUTER_SETTINGS, seed);
    router.useBootstrapRoutes(bootstrapRoutes);
  }

  /** Starts without a route table. */
  void startEmpty() {
    router = new Router(ROUTER_SETTINGS, 1);
  }

  /** Opens a connection with a new stream. */
  void connect(EngineHost host, long now) {
    connection = new RecordingConnection();
    streamNumber++;
    connectedAt = now;
    updateTimes.clear();
    applySnapshot(host, now);
    sendHello(host, now);
  }

  /**
   * Drops the connection and returns it. The host is not notified; a caller that simulates a
   * detected close notifies it.
   */
  RecordingConnection disconnect() {
    RecordingConnection closed = connection;
    connection = null;
    return closed;
  }

  void sendHello(EngineHost host, long now) {
    ProxyHello hello =
        new ProxyHello(
            "life-" + name,
            streamNumber,
            new ZoneId(zone),
            10,
            router.isWithoutTables(),
            Optional.of(router.namedEndpoints().stream().map(EndpointId::new).toList()));
    host.handleHello(name, hello, HostSimulation.SESSION_TIMEOUT_DECI_MILLIS, connection, now);
  }

  /** Acknowledges the updates that have requested it since the last call. */
  void acknowledge(EngineHost host, long now) {
    for (int ack : pendingAcks) {
      if (connection != null) {
        ProxyAcknowledgement acknowledgement =
            new ProxyAcknowledgement(stream, new AckId(ack), 100);
        host.handleAcknowledgement(name, acknowledgement, connection, now);
      }
    }
    pendingAcks.clear();
  }

  private String subtree() {
    return "/proxy/" + name + "/";
  }

  /** Applies a published key if it belongs to this proxy and the proxy is connected. */
  void receiveUpdate(KeyUpdate update, EngineHost host, long now) {
    if (connection == null || !update.key().startsWith(subtree())) {
      return;
    }
    String key = update.key().substring(subtree().length());
    String value = update.value().length == 0 ? null : text(update);
    boolean isCommit = value != null && key.equals(TableSubscriber.COMMIT_KEY);
    apply(subscriber.handleKeyChange(key, value, isCommit ? parseCommit(value) : null), host, now);
  }

  /** Applies all keys that the host has published for this proxy. */
  void applySnapshot(EngineHost host, long now) {
    Map<String, String> keys = new LinkedHashMap<>();
    TableSubscriber.Commit commit = null;
    for (KeyUpdate key : host.snapshot(subtree())) {
      keys.put(key.key().substring(subtree().length()), text(key));
      commit = key.key().endsWith("/commit") ? parseCommit(text(key)) : commit;
    }
    apply(subscriber.handleSnapshot(keys, commit), host, now);
  }

  private void apply(TableSubscriber.Result result, EngineHost host, long now) {
    if (result instanceof TableSubscriber.Result.Update update) {
      router.apply(update);
      stream = update.stream();
      recordUpdate(now);
      if (update.ackId() >= 0) {
        pendingAcks.add(update.ackId());
      }
    } else if (result instanceof TableSubscriber.Result.Resync) {
      lostUpdateCount++;
      applySnapshot(host, now);
    }
  }

  private void recordUpdate(long now) {
    updateTimes.add(now);
    updateTimes.removeIf(at -> now - at > channelLimits.messageWindow() || at < connectedAt);
    assertTrue(
        updateTimes.size() <= channelLimits.maxMessagesPerProxy(),
        "more messages to " + name + " than the channel limit allows");
  }

  private static String text(KeyUpdate update) {
    return new String(update.value(), StandardCharsets.UTF_8);
  }

  static JsonNode parseJson(String text) {
    try {
      return JSON.readTree(text);
    } catch (java.io.IOException e) {
      throw new AssertionError(e);
    }
  }

  private static TableSubscriber.Commit parseCommit(String value) {
    JsonNode node = parseJson(value);
    return new TableSubscriber.Commit(
        node.path("origin").asText(),
        node.path("at").asInt(),
        node.path("keys").asInt(),
        node.path("mark").asInt(TableSubscriber.Commit.NO_ACK));
  }
}
