package stonespring.testbed.virtual;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import stonespring.daemon.EngineHost;
import stonespring.model.AckId;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;
import stonespring.proxy.CommitReader;
import stonespring.proxy.routing.RequestStatistics;
import stonespring.proxy.routing.Router;
import stonespring.proxy.routing.RouterSettings;
import stonespring.proxy.routing.TableSubscriber;
import stonespring.proxyapi.ProxyConnection;
import stonespring.recording.Recording;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/**
 * A proxy in virtual time. It runs the production code for routing and for reading published keys,
 * and exchanges messages with the instance by method calls. Times are in {@link DeciMillis}.
 */
final class VirtualProxy implements ProxyConnection {
  private static final String COMMIT_KEY = "commit";
  private static final String ROUTE_KEY_PREFIX = "line/";
  private static final RequestClassId FIRST_CLASS = new RequestClassId(0);

  /** Longer than any recording, so the proxy's session never expires. */
  private static final long SESSION_TIMEOUT_DECI_MILLIS = 24 * 3600 * DeciMillis.SECOND;

  private static final long NOT_WITHOUT_ROUTES = -1;

  private final VirtualFleet fleet;
  private final Recording.ProxyInfo recorded;
  private final EventQueue events;
  private final Router router;
  private final TableSubscriber subscriber = new TableSubscriber();
  private final RequestStatistics statistics;
  private final ConnectionTable connections = new ConnectionTable();
  private long withoutRoutesSince = NOT_WITHOUT_ROUTES;
  private double secondsWithoutRoutes;

  VirtualProxy(
      VirtualFleet fleet,
      Recording.ProxyInfo recorded,
      RouterSettings routing,
      List<EndpointId> bootstrapRoutes,
      long seed) {
    this.fleet = fleet;
    this.recorded = recorded;
    this.events = fleet.events();
    this.router = new Router(routing, new SplittableRandom(seed).nextLong());
    this.router.useBootstrapRoutes(bootstrapRoutes);
    this.statistics = new RequestStatistics(routing.requestClasses().size(), 0);
  }

  String name() {
    return recorded.name();
  }

  /** Returns the index of the proxy's zone. */
  int zone() {
    return recorded.zone();
  }

  Router router() {
    return router;
  }

  RequestStatistics statistics() {
    return statistics;
  }

  ConnectionTable connections() {
    return connections;
  }

  /** Returns the total time so far during which the proxy had no route, in seconds. */
  double secondsWithoutRoutes() {
    if (withoutRoutesSince == NOT_WITHOUT_ROUTES) {
      return secondsWithoutRoutes;
    }
    return secondsWithoutRoutes + DeciMillis.toSeconds(events.now() - withoutRoutesSince);
  }

  @Override
  public void close(String cause) {
    throw new IllegalStateException(
        "the instance closed the connection of proxy " + name() + ": " + cause);
  }

  /** Opens the proxy's session at the instance. */
  void connect(EngineHost host) {
    ProxyHello hello =
        new ProxyHello(
            "life",
            1,
            new ZoneId(recorded.zone()),
            recorded.usualRequestsPerSecond(),
            true,
            Optional.of(router.namedEndpoints().stream().map(EndpointId::new).toList()));
    host.handleHello(name(), hello, SESSION_TIMEOUT_DECI_MILLIS, this, events.now());
  }

  /**
   * Receives a published key.
   *
   * @param key the key relative to this proxy
   */
  void receive(EngineHost host, KeyUpdate update, String key) {
    boolean deleted = update.value().length == 0;
    String value = deleted ? null : new String(update.value(), StandardCharsets.UTF_8);
    boolean isCommit = !deleted && key.equals(COMMIT_KEY);
    TableSubscriber.Result result =
        subscriber.handleKeyChange(key, value, isCommit ? CommitReader.read(update.value()) : null);
    if (result instanceof TableSubscriber.Result.Resync resync) {
      throw new IllegalStateException(
          "proxy "
              + name()
              + " requested a resync on a channel that loses no messages: "
              + resync.cause());
    }
    if (result instanceof TableSubscriber.Result.Update tableUpdate) {
      apply(tableUpdate);
      acknowledge(host, tableUpdate);
    }
  }

  private void apply(TableSubscriber.Result.Update update) {
    router.apply(update);
    fleet
        .statistics()
        .addRouteChanges(
            update.changes().keySet().stream()
                .filter(key -> key.startsWith(ROUTE_KEY_PREFIX))
                .count());
    boolean hasNoRoutes = router.weights(FIRST_CLASS).isEmpty();
    boolean hadNoRoutes = withoutRoutesSince != NOT_WITHOUT_ROUTES;
    if (hasNoRoutes && !hadNoRoutes) {
      withoutRoutesSince = events.now();
    } else if (!hasNoRoutes && hadNoRoutes) {
      secondsWithoutRoutes = secondsWithoutRoutes();
      withoutRoutesSince = NOT_WITHOUT_ROUTES;
    }
  }

  private void acknowledge(EngineHost host, TableSubscriber.Result.Update update) {
    if (update.ackId() < 0) {
      return;
    }
    ProxyAcknowledgement acknowledgement =
        new ProxyAcknowledgement(
            update.stream(),
            new AckId(update.ackId()),
            VirtualFleet.CHANNEL_ROUND_TRIP_DECI_MILLIS);
    host.handleAcknowledgement(name(), acknowledgement, this, events.now());
  }

  /**
   * Creates a report of the observations since the last report and resets the statistics.
   *
   * @param interval time since the last report, deci-milliseconds
   */
  ProxyReport report(long interval) {
    List<ProxyReport.EndpointObservation> observations = new ArrayList<>();
    for (RequestStatistics.EndpointObservation observed : statistics.observations()) {
      long successes = observed.attempts() - observed.failures();
      observations.add(
          new ProxyReport.EndpointObservation(
              new EndpointId(observed.endpoint()),
              observed.attempts(),
              observed.failures(),
              successes == 0 ? 0 : observed.totalSuccessDeciMillis() / successes,
              observed.load() == null ? LoadReport.NONE : observed.load()));
    }
    List<ProxyReport.RequestCount> requestCounts = new ArrayList<>();
    for (int index = 0; index < fleet.requestClassCount(); index++) {
      RequestClassId requestClass = new RequestClassId(index);
      requestCounts.add(
          new ProxyReport.RequestCount(
              requestClass,
              statistics.requests(requestClass),
              statistics.unansweredRequests(requestClass)));
    }
    statistics.reset(events.now());
    return new ProxyReport(interval, observations, requestCounts);
  }
}
