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
 * Runs the decision engine of a {@link PlatformDaemon}: events are passed to it in batches, its
 * commands are carried out by the proxy API. An engine that fails is replaced by a new one, which
 * starts with the current endpoint list and the connected proxies, so that no proxy loses its
 * connection; {@link RestartBudget} limits how often. Confined to the event loop, but for the
 * constructor.
 */
final class PlatformEngine {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformEngine.class);

  private final PlatformConfig config;
  private final EngineFactory factory;
  private final InstanceClock clock;
  private final PlatformProxyApi proxyApi;
  private final PlatformEndpointSource source;
  private final Consumer<Throwable> onGiveUp;
  private final EndpointListRequests endpointList;
  private final EventBatcher events;
  private final ReportBatcher reports;
  private final EngineTimer timer;
  private final PlatformStatistics statistics = new PlatformStatistics();
  private final RestartBudget restartBudget = new RestartBudget();
  private EngineRunner runner;
  private int failures;

  /**
   * Creates what runs the engine; the engine itself is created by {@link #start}.
   *
   * @param onGiveUp takes the cause when the engine failed too often; it is not restarted then
   */
  PlatformEngine(
      PlatformConfig config,
      EngineFactory factory,
      EventLoop eventLoop,
      InstanceClock clock,
      PlatformProxyApi proxyApi,
      PlatformEndpointSource source,
      Consumer<Throwable> onGiveUp) {
    this.config = config;
    this.factory = factory;
    this.clock = clock;
    this.proxyApi = proxyApi;
    this.source = source;
    this.onGiveUp = onGiveUp;
    this.endpointList = EndpointListRequests.to(source);
    this.events =
        new EventBatcher(eventLoop, clock, config.settings().minBatchInterval(), this::runBatch);
    this.reports = new ReportBatcher(eventLoop, clock, this::reportsGathered);
    this.timer = new EngineTimer(eventLoop, events::requestBatch);
  }

  /** Creates the engine; must be called before anything else. */
  void start() {
    runner = createRunner(config.seed());
  }

  private EngineRunner createRunner(long seed) {
    DecisionEngine engine = factory.create(config.settings().settings(), seed, clock.now());
    return new EngineRunner(engine, endpointList);
  }

  /** Passes an event to the engine with one of the next batches. */
  void handle(Event event) {
    if (ReportBatcher.isReport(event)) {
      reports.add(event);
    } else {
      events.add(event);
    }
  }

  private void reportsGathered(List<Event> gathered, long firstAt) {
    statistics.reportsGathered(firstAt);
    events.addAll(gathered);
  }

  /** Runs a batch of the events so far, without the minimum interval. */
  void runBatchNow() {
    events.runBatch();
  }

  private void runBatch(List<Event> batch, long now) {
    try {
      runner.fireDueTimers(now);
      for (Event event : batch) {
        runner.handle(now, event);
      }
      if (runner.hasPendingEvents()) {
        proxyApi.execute(runner.endBatch(now), now);
        statistics.batchEnded(now, clock.now());
      }
    } catch (DecisionFailedException e) {
      restart(e.getCause());
    } catch (RuntimeException | Error e) {
      // Also after an error: the batch's events are lost, and a proxy that connected in it would
      // never get a route table.
      restart(e);
    }
    timer.schedule(runner.nextTimerAt(), now);
  }

  private void restart(Throwable cause) {
    failures++;
    if (!restartBudget.tryRestart(clock.now())) {
      LOG.error(
          "the decision engine failed too often, {} times in all: the instance ends",
          failures,
          cause);
      onGiveUp.accept(cause);
      return;
    }
    LOG.error("the decision engine failed and restarts", cause);
    events.clear();
    reports.clear();
    runner = createRunner(config.seed() + failures);
    timer.reset();
    handle(new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, source.endpoints()));
    proxyApi.handleEngineRestart();
  }

  /**
   * Runs no more batches: proxies connect to other instances from now on, and a command from here
   * could undo one from there.
   */
  void stop() {
    events.stop();
  }

  PlatformStatistics statistics() {
    return statistics;
  }
}
