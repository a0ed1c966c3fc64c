package stonespring.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.Settings;
import stonespring.netty.LogRateLimit;
import stonespring.proxyapi.ProxyConnection;
import stonespring.state.HelloResult;
import stonespring.state.KeyStore;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;
import stonespring.state.ProxySessions;
import stonespring.state.ProxyUpdate;
import stonespring.state.PublishedKeyCodec;
import stonespring.state.PublishedState;
import stonespring.state.RateLimitedChannel;
import stonespring.state.ReportAggregator;
import stonespring.state.RouteTables;

/**
 * An instance without threads, clock and sockets. It passes messages of proxies and updates of the
 * endpoint list to the decision engine, and publishes the engine's commands as keys. Reports of
 * proxies are aggregated and passed to the engine once per report interval.
 *
 * <p>All times and durations are {@link DeciMillis} and are passed in, so that tests can run a host
 * in virtual time. Not thread-safe. Methods that pass events to the engine throw {@link
 * DecisionFailedException} if it fails; the host must not be used after that.
 */
public final class EngineHost {
  private static final Logger LOG = LoggerFactory.getLogger(EngineHost.class);

  /**
   * Interval at which the status is published; operators and monitoring probes do not read it more
   * often.
   */
  private static final long STATUS_INTERVAL_DECI_MILLIS = DeciMillis.SECOND;

  /**
   * Upper limit of the histogram of acknowledgement durations; longer durations are recorded as
   * this one.
   */
  private static final long MAX_ACKNOWLEDGEMENT_DECI_MILLIS = 600 * DeciMillis.SECOND;

  private static final int ACKNOWLEDGEMENT_SIGNIFICANT_DIGITS = 2;
  private static final int MAX_SESSION_LINES_PER_SECOND = 100;

  private final Settings settings;
  private final HostEnvironment environment;
  private final EngineRunner engineRunner;
  private final ProxySessions<ProxyConnection> sessions;
  private final RouteTables routeTables;
  private final ReportAggregator reports;
  private final RateLimitedChannel channel;
  private final KeyStore keys;
  private final PublishedKeyCodec keyCodec;
  private final PublishedState publishedState;
  private final ListedEndpoints endpoints = new ListedEndpoints();
  private final DurationHistogram acknowledgementDurations =
      new DurationHistogram(MAX_ACKNOWLEDGEMENT_DECI_MILLIS, ACKNOWLEDGEMENT_SIGNIFICANT_DIGITS);
  private final CommandCauses causes = new CommandCauses();
  private final LogRateLimit sessionLog =
      new LogRateLimit(LOG, MAX_SESSION_LINES_PER_SECOND, "proxies connected or disconnected");
  private long nextReportsAt;
  private long nextStatusAt;
  private long unknownEndpointObservationCount;

  /**
   * Creates a host without proxies and endpoints.
   *
   * @param epoch identifies this start of the instance; must differ from that of any other start
   * @param firstSequence the highest sequence number that an earlier start may have used; the first
   *     key update gets the next one
   */
  public EngineHost(
      Settings settings,
      List<String> requestClassNames,
      HostLimits limits,
      String epoch,
      long firstSequence,
      DecisionEngine engine,
      HostEnvironment environment,
      long now) {
    this.settings = settings;
    this.environment = environment;
    this.engineRunner = new EngineRunner(engine, environment);
    this.sessions = new ProxySessions<>(limits.proxies());
    this.routeTables = new RouteTables(requestClassNames.size());
    this.reports = new ReportAggregator(limits.reportPairs());
    this.channel = new RateLimitedChannel(settings.channel());
    this.keys = new KeyStore(firstSequence, limits.keys());
    this.keyCodec = new PublishedKeyCodec(requestClassNames);
    this.publishedState = new PublishedState(keys, keyCodec, epoch, sessions);
    this.nextReportsAt = now + settings.reportInterval();
    this.nextStatusAt = now;
  }

  private void passToEngine(long now, Event event, String cause) {
    causes.add(cause);
    engineRunner.handle(now, event);
  }

  /**
   * Opens or renews a proxy's session, or closes the connection if the session is refused.
   *
   * @param sessionTimeout time from {@code now} after which the session expires unless renewed
   */
  public void handleHello(
      String proxy, ProxyHello hello, long sessionTimeout, ProxyConnection connection, long now) {
    HelloResult<ProxyConnection> result =
        sessions.handleHello(proxy, hello, connection, now, now + sessionTimeout);
    if (result instanceof HelloResult.Refused<ProxyConnection> refused) {
      connection.close(refused.reason());
    } else if (result instanceof HelloResult.Connected<ProxyConnection> connected) {
      ProxyId id = connected.proxy();
      connected
          .replaced()
          .ifPresent(replaced -> replaceSession(proxy, id, replaced, connection, now));
      startSession(proxy, id, hello, now);
    }
  }

  private void replaceSession(
      String proxy, ProxyId id, ProxyConnection replaced, ProxyConnection connection, long now) {
    endSession(id, "replaced by a newer session", now);
    if (replaced != connection) {
      replaced.close("proxy " + proxy + " connected again in a newer session");
    }
  }

  private void startSession(String proxy, ProxyId id, ProxyHello hello, long now) {
    routeTables.addProxy(id, hello.tableEndpoints());
    Event connected =
        new Event.ProxyConnected(
            id, hello.zone(), hello.requestsPerSecond(), hello.withoutTables());
    passToEngine(now, connected, "connect " + proxy);
    environment.publish(publishedState.publishSessionStart(id));
    if (sessionLog.shouldLog()) {
      LOG.info(
          "proxy {} connected as number {}, session {}, {}",
          proxy,
          id.number(),
          publishedState.sessionId(id),
          hello.withoutTables()
              ? "with only its bootstrap table"
              : "with route tables from an earlier session");
    }
  }

  private void endSession(ProxyId id, String reason, long now) {
    routeTables.removeProxy(id);
    channel.removeProxy(id);
    reports.discardRequestCounts(id);
    environment.publish(publishedState.publishSessionEnd(id));
    passToEngine(now, new Event.ProxyDisconnected(id), "disconnect " + sessions.name(id));
    if (sessionLog.shouldLog()) {
      LOG.info("proxy {} disconnected: {}", sessions.name(id), reason);
    }
  }

  /** Ends all sessions on a connection that has been closed. */
  public void handleConnectionClosed(ProxyConnection connection, long now) {
    for (ProxyId id : sessions.endSessions(connection)) {
      endSession(id, "its connection was closed", now);
    }
  }

  /** Handles a proxy's report, or closes the connection if the proxy has no session on it. */
  public void handleReport(String proxy, ProxyReport report, ProxyConnection connection) {
    Optional<ProxyId> id = sessions.find(proxy, connection);
    if (id.isEmpty()) {
      connection.close("report: proxy " + proxy + " has no session on this connection");
      return;
    }
    ProxyHello hello = sessions.hello(id.get());
    List<ProxyReport.EndpointObservation> known = selectKnownEndpoints(report.endpoints(), hello);
    unknownEndpointObservationCount += report.endpoints().size() - known.size();
    reports.add(
        id.get(), hello.zone(), new ProxyReport(report.interval(), known, report.requests()));
  }

  /**
   * Selects the observations of endpoints that were listed since the start or that are in the
   * proxy's own route tables. The latter may have left the list before the start, and the engine
   * must know about them.
   */
  private List<ProxyReport.EndpointObservation> selectKnownEndpoints(
      List<ProxyReport.EndpointObservation> observations, ProxyHello hello) {
    List<EndpointId> ownRoutes = hello.tableEndpoints().orElse(List.of());
    List<ProxyReport.EndpointObservation> known = new ArrayList<>(observations.size());
    for (ProxyReport.EndpointObservation observation : observations) {
      EndpointId endpoint = observation.endpoint();
      if (endpoints.wasListed(endpoint) || ownRoutes.contains(endpoint)) {
        known.add(observation);
      }
    }
    return known;
  }

  /**
   * Handles a proxy's acknowledgement of an update. An acknowledgement for an earlier session is
   * ignored; if it was never requested, the connection is closed.
   */
  public void handleAcknowledgement(
      String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection connection, long now) {
    ProxyId id = sessions.find(proxy, connection).orElse(null);
    if (id == null) {
      connection.close("answer: proxy " + proxy + " has no session on this connection");
      return;
    }
    if (!publishedState.sessionId(id).equals(acknowledgement.sessionId())) {
      return;
    }
    AckId ack = acknowledgement.ack();
    OptionalLong commandedAt = publishedState.acknowledge(id, ack);
    if (commandedAt.isEmpty()) {
      connection.close(
          "answer: acknowledgement " + ack.number() + " was never requested of proxy " + proxy);
      return;
    }
    acknowledgementDurations.record(now - commandedAt.getAsLong());
    Event acknowledged = new Event.UpdateAcknowledged(id, ack, acknowledgement.duration());
    passToEngine(now, acknowledged, "ack " + proxy);
  }

  /** Handles an update of the endpoint list. */
  public void handleEndpointListUpdate(Event.EndpointListUpdate update, long now) {
    endpoints.update(update);
    LOG.info(
        "endpoint list update of kind {}: {} entries", update.kind(), update.endpoints().size());
    passToEngine(now, update, "list " + update.kind() + " of " + update.endpoints().size());
  }

  /** Returns the published keys below a prefix, with their values. */
  public List<KeyUpdate> snapshot(String subtree) {
    return keys.snapshot(subtree);
  }

  /** Returns the sequence number of the latest key update. */
  public long sequence() {
    return keys.sequence();
  }

  /**
   * Runs all work that is due: timers, expiry of sessions, reports, the engine's batch, pending
   * updates and the status.
   *
   * @return when work is due next
   */
  public long runDue(long now) {
    if (engineRunner.fireDueTimers(now)) {
      causes.add("timer");
    }
    for (ProxyId id : sessions.endExpiredSessions(now)) {
      endSession(id, "its session expired", now);
    }
    if (now >= nextReportsAt) {
      passReportsToEngine(now);
    }
    if (engineRunner.hasPendingEvents()) {
      applyCommands(engineRunner.endBatch(now), now);
      causes.clear();
    }
    for (ProxyUpdate update : channel.takeDue(now)) {
      environment.publish(publishedState.publish(update));
    }
    if (now >= nextStatusAt) {
      nextStatusAt = now + STATUS_INTERVAL_DECI_MILLIS;
      environment.publish(publishedState.publishStatus(statusJson()));
    }
    long nextAt = Math.min(Math.min(nextReportsAt, nextStatusAt), channel.nextDepartureAt());
    return Math.min(nextAt, engineRunner.nextTimerAt());
  }

  private void passReportsToEngine(long now) {
    List<Event> aggregated = reports.drain();
    for (Event event : aggregated) {
      engineRunner.handle(now, event);
    }
    if (!aggregated.isEmpty()) {
      causes.add("reports");
    }
    long interval = settings.reportInterval();
    // After a delay the original schedule resumes, but no interval is shorter than half of the
    // usual one.
    nextReportsAt = Math.max(nextReportsAt + interval, now + interval / 2);
  }

  private void applyCommands(List<Command> commands, long now) {
    List<ProxyUpdate> updates = routeTables.apply(commands, now);
    channel.offer(updates, now);
    if (LOG.isDebugEnabled()) {
      for (ProxyUpdate update : updates) {
        LOG.debug(
            "update for proxy {}: {}; caused by {}",
            sessions.name(update.proxy()),
            keyCodec.describe(update),
            causes);
      }
    }
    int limit = settings.channel().maxBacklogEntries();
    if (channel.backlogEntries() > limit) {
      LOG.error(
          "channel backlog exceeds its limit: {} entries wait, at most {} are allowed",
          channel.backlogEntries(),
          limit);
    }
  }

  private String statusJson() {
    return HostStatus.toJson(
        sessions,
        endpoints,
        channel,
        settings.channel(),
        reports.droppedObservationCount() + unknownEndpointObservationCount,
        engineRunner.endedBatchCount(),
        acknowledgementDurations);
  }

  /** Returns the number of connected proxies. */
  public int connectedProxyCount() {
    return sessions.connectedCount();
  }

  /** Returns the number of batches that the engine has ended. */
  public long endedBatchCount() {
    return engineRunner.endedBatchCount();
  }
}
