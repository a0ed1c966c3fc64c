package stonespring.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.config.PlatformConfig;
import stonespring.decision.AssignmentEngine;
import stonespring.discovery.PlatformEndpointCodec;
import stonespring.discovery.PlatformEndpointSource;
import stonespring.line.LineServer;
import stonespring.model.Event;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.platform.PlatformProxyApi;

/**
 * An instance on the operators' platform. Its sockets and its decision engine share one event loop,
 * since the process may use only a fraction of one core. Public methods may be called from any
 * thread.
 */
public final class PlatformDaemon implements Instance {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformDaemon.class);

  /** Time limit for each step of the stop; written data is sent well within it. */
  private static final long STOP_TIMEOUT_MILLIS = 300;

  private final PlatformConfig config;
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop eventLoop = (EventLoop) eventLoops.next();
  private final PlatformProxyApi proxyApi;
  private final LineServer server;
  private final PlatformEndpointSource source;
  private final PlatformEngine engine;
  private final CompletableFuture<Optional<Throwable>> ended = new CompletableFuture<>();
  private Runnable onFetchFailed = () -> {}; // confined to the event loop

  /** Creates an instance; {@link #start} starts it. */
  public PlatformDaemon(PlatformConfig config) {
    this(config, AssignmentEngine::new);
  }

  PlatformDaemon(PlatformConfig config, EngineFactory factory) {
    this.config = config;
    InstanceClock clock = new InstanceClock();
    this.proxyApi =
        new PlatformProxyApi(
            new NameTable(config.settings().zones(), config.settings().requestClassNames()),
            config.settings().settings().fleet().proxies(),
            this::onProxyEvent);
    this.server =
        new LineServer(
            PlatformConnectionLimits.of(config, DescriptorLimit.ofThisProcess()), proxyApi);
    this.source =
        new PlatformEndpointSource(
            config.discovery(),
            new PlatformEndpointCodec(config.settings().zones(), clock.unixOffset()),
            eventLoop);
    this.engine =
        new PlatformEngine(
            config, factory, eventLoop, clock, proxyApi, source, this::endWithFailure);
  }

  private void onProxyEvent(Event event) {
    engine.handle(event);
  }

  private void endWithFailure(Throwable cause) {
    ended.complete(Optional.of(cause));
  }

  /**
   * Runs a first batch and then starts to listen, so that the engine has the endpoint list before
   * any client gets an answer.
   */
  public void start() throws InterruptedException {
    eventLoop.submit(this::startEngine).sync();
    server.start(eventLoops, config.listen());
    LOG.info(
        "assigner {} serves at {}:{}, {} endpoints known, at most {} proxies and {} connections that have not joined",
        config.name(),
        config.listen().getHostString(),
        server.port(),
        source.endpoints().size(),
        config.settings().settings().fleet().proxies(),
        server.limits().maxPendingHandshakes());
  }

  private void startEngine() {
    engine.start();
    source.start(this::onEndpointListUpdate, list -> {});
    onEndpointListUpdate(source.loadCachedList(config.cachedEndpointList()));
    engine.runBatchNow();
  }

  private void onEndpointListUpdate(Event.EndpointListUpdate update) {
    proxyApi.updateEndpointList(update);
    if (update.kind() != Event.ListUpdateKind.DELTA) {
      LOG.info(
          "endpoint list update of kind {}: {} entries", update.kind(), update.endpoints().size());
    }
    engine.handle(update);
    if (update.kind() == Event.ListUpdateKind.FETCH_FAILED) {
      onFetchFailed.run();
    }
  }

  /**
   * Sets an action that runs after each failure to fetch or watch the endpoint list. The action
   * runs on the event loop and must not block.
   */
  public void onFetchFailed(Runnable action) {
    eventLoop.execute(() -> onFetchFailed = action);
  }

  /**
   * Applies the discovery address of a new configuration. A change of the settings or of the listen
   * address needs a restart of the process and is logged as a warning. All other fields are
   * ignored.
   */
  public void reload(PlatformConfig newConfig) {
    boolean sameSettings = newConfig.settings().equals(config.settings());
    if (!sameSettings || !newConfig.listen().equals(config.listen())) {
      LOG.warn(
          "the new configuration changes the settings or the listen address, which take effect only after a restart");
    }
    source.changeAddress(newConfig.discovery());
  }

  /** Returns the port that the instance listens on. */
  public int port() {
    return server.port();
  }

  @Override
  public Optional<Throwable> awaitEnd() {
    return ended.join();
  }

  /** Accepts no new connections, sends written data and closes all connections. */
  @Override
  public void stop() throws InterruptedException {
    eventLoop.execute(engine::stop);
    server.stop();
    source.stop();
    eventLoop.submit(this::logStop).await(STOP_TIMEOUT_MILLIS);
    eventLoops
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .await(STOP_TIMEOUT_MILLIS);
    ended.complete(Optional.empty());
  }

  private void logStop() {
    LOG.info(
        "assigner {} stops: {} proxies connected, {} messages dropped; {}",
        config.name(),
        proxyApi.connectedProxyCount(),
        proxyApi.droppedMessageCount(),
        engine.statistics());
  }
}
