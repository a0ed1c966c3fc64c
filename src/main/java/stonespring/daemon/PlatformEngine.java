package stonespring.daemon;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.config.PlatformConfig;
import stonespring.discovery.PlatformEndpointSource;
import stonespring.model.DecisionEngine;
import stonespring.model.Event;
import stonespring.proxyapi.platform.PlatformProxyApi;

/**
 * Runs the decision engine of a {@link PlatformDaemon}: passes events to it in batches and has the
 * proxy API execute its commands. A failed engine is replaced by a new one that starts with the
 * current endpoint list and the connected proxies, so that no proxy loses its connection. {@link
 * RestartBudget} limits how often this happens. If a new engine meets the {@link LinkageError} of
 * the one before, the instance ends at once. Confined to the event loop, except for the
 * constructor.
 */
final class PlatformEngine {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformEngine.class);

  private final PlatformConfig config;
  private final EngineFactory factory;
  private final InstanceClock clock;
  private final PlatformProxyApi proxyApi;
  private final PlatformEndpointSource source;
  private final Consumer<Throwable> onUnrecoverableFailure;
  private final EndpointListRequests endpointListRequests;
  private final EventBatcher eventBatcher;
  private final ReportBatcher reportBatcher;
  private final EngineTimer timer;
  private final PlatformStatistics statistics = new PlatformStatistics();
  private final RestartBudget restartBudget = new RestartBudget();
  private EngineRunner engineRunner;
  private int engineFailures;

  /** The latest linkage error of an engine; null if there was none. */
  private String lastLinkageError;

  /**
   * Creates an object without an engine; {@link #start} creates the engine.
   *
   * @param onUnrecoverableFailure receives the cause when the engine has failed too often to be
   *     restarted, or in a way that a restart can't cure
   */
  PlatformEngine(
      PlatformConfig config,
      EngineFactory factory,
      EventLoop eventLoop,
      InstanceClock clock,
      PlatformProxyApi proxyApi,
      PlatformEndpointSource source,
      Consumer<Throwable> onUnrecoverableFailure) {
    this.config = config;
    this.factory = factory;
    this.clock = clock;
    this.proxyApi = proxyApi;
    this.source = source;
    this.onUnrecoverableFailure = onUnrecoverableFailure;
    this.endpointListRequests = EndpointListRequests.to(source);
    this.eventBatcher =
        new EventBatcher(
            eventLoop, clock, config.settings().minBatchIntervalDeciMillis(), this::runBatch);
    this.reportBatcher = new ReportBatcher(eventLoop, clock, this::handleReports);
    this.timer = new EngineTimer(eventLoop, eventBatcher::requestBatch);
  }

  /** Creates the engine. Must be called before any other method. */
  void start() {
    engineRunner = createRunner(config.seed());
  }

  private EngineRunner createRunner(long seed) {
    DecisionEngine engine = factory.create(config.settings().settings(), seed, clock.now());
    return new EngineRunner(engine, endpointListRequests);
  }

  /** Passes an event to the engine in one of the next batches. */
  void handle(Event event) {
    if (ReportBatcher.isReport(event)) {
      reportBatcher.add(event);
    } else {
      eventBatcher.add(event);
    }
  }

  private void handleReports(List<Event> reports, long firstArrivedAt) {
    statistics.recordFirstReport(firstArrivedAt);
    eventBatcher.addAll(reports);
  }

  /** Runs a batch of the events so far without waiting for the minimum interval. */
  void runBatchNow() {
    eventBatcher.runBatch();
  }

  private void runBatch(List<Event> batch, long now) {
    try {
      engineRunner.fireDueTimers(now);
      for (Event event : batch) {
        engineRunner.handle(now, event);
      }
      if (engineRunner.hasPendingEvents()) {
        proxyApi.execute(engineRunner.endBatch(now), now);
        statistics.recordBatch(now, clock.now());
      }
    } catch (DecisionFailedException e) {
      restartEngine(e.getCause());
    } catch (RuntimeException | Error e) {
      // Any other exception or error needs a restart too: the events of the batch are lost, and a
      // proxy that connected in it would never get a route table.
      restartEngine(e);
    }
    timer.schedule(engineRunner.nextTimerAt(), now);
  }

  private void restartEngine(Throwable cause) {
    engineFailures++;
    if (isRepeatedLinkageError(cause)) {
      endInstance(cause);
      return;
    }
    if (!restartBudget.tryRestart(clock.now())) {
      LOG.error(
          "the decision engine failed too often, {} times since the start: the instance ends",
          engineFailures,
          cause);
      endInstance(cause);
      return;
    }
    LOG.error("the decision engine failed and is restarted, proxies stay connected", cause);
    eventBatcher.clear();
    reportBatcher.clear();
    engineRunner = createRunner(config.seed() + engineFailures);
    timer.clearDueTime();
    handle(new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, source.endpoints()));
    proxyApi.handleEngineRestart();
  }

  /**
   * Returns whether a restart has not cured the failure: the JVM remembers that it could not load a
   * class, so that every use of the class fails until the process ends.
   */
  private boolean isRepeatedLinkageError(Throwable cause) {
    if (!(cause instanceof LinkageError)) {
      return false;
    }
    String description = cause.toString();
    boolean repeated = description.equals(lastLinkageError);
    lastLinkageError = description;
    return repeated;
  }

  private void endInstance(Throwable cause) {
    stop();
    onUnrecoverableFailure.accept(cause);
  }

  /**
   * Prevents all further batches. Proxies connect to other instances from now on, and a command of
   * this instance could undo one of theirs.
   */
  void stop() {
    eventBatcher.stop();
  }

  PlatformStatistics statistics() {
    return statistics;
  }
}
