package stonespring.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.chp.ChpServer;
import stonespring.config.InstanceSettings;
import stonespring.decision.AssignmentEngine;
import stonespring.discovery.CachedEndpointList;
import stonespring.discovery.EndpointListCodec;
import stonespring.discovery.EndpointSource;
import stonespring.discovery.FileEndpointSource;
import stonespring.discovery.RegistryEndpointSource;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.chp.ChpProxyApi;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;
import stonespring.state.KeyUpdate;
import stonespring.zmtp.ZmtpLimits;

/**
 * An instance that serves proxies over the Clustered Hashmap Protocol (CHP). One event loop handles
 * its sockets; an {@link EngineThread} runs its decision engine. The instance starts with the last
 * saved endpoint list and without route tables.
 */
public final class ChpDaemon implements Instance {
  private static final Logger LOG = LoggerFactory.getLogger(ChpDaemon.class);

  /**
   * Time allowed for sending pending data at the stop. Peers that read their sockets receive the
   * data well before that.
   */
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  /** Descriptors for archives, the endpoint list, files and the log; connections never use them. */
  private static final int RESERVED_DESCRIPTORS = 64;

  /** Sequence numbers reserved for each millisecond of a run, in bits: about a million updates. */
  private static final int SEQUENCE_BITS_PER_MILLI = 20;

  private static final long NANOS_PER_MICRO = 1_000;

  private final InstanceSettings settings;
  private final InstanceClock clock = new InstanceClock();
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EngineThread engineThread;
  private final ChpServer server;
  private final EndpointSource source;
  private final CachedEndpointList cachedEndpointList;

  /** Creates an instance; {@link #start} starts it. */
  public ChpDaemon(InstanceSettings settings) {
    this.settings = settings;
    InstanceSettings.Limits limits = settings.limits();
    this.engineThread = new EngineThread(clock, limits.inboxMessages(), limits.batchMillis());
    NameTable nameTable = new NameTable(settings.zones(), settings.requestClasses().names());
    this.server =
        new ChpServer(
            eventLoops,
            connectionLimits(limits),
            new ChpProxyApi(new QueuedMessageHandler(engineThread), nameTable));
    EndpointListCodec codec = new EndpointListCodec(settings.zones(), clock.unixOffset());
    this.source =
        createSource(settings.endpointList().source(), codec, (EventLoop) eventLoops.next());
    this.cachedEndpointList = new CachedEndpointList(settings.endpointList().cacheFile(), codec);
  }

  private static ZmtpLimits connectionLimits(InstanceSettings.Limits limits) {
    ZmtpLimits defaults = ZmtpLimits.DEFAULT;
    return new ZmtpLimits(
        defaults.maxFrameBytes(),
        defaults.maxMessageBytes(),
        defaults.maxFrames(),
        limits.pendingBytes(),
        defaults.maxSubscriptions(),
        defaults.handshakeTimeoutMillis(),
        Math.min(limits.connections(), descriptorsPerListener()));
  }

  /** Returns the number of connections for which each of the three listeners has descriptors. */
  private static int descriptorsPerListener() {
    OptionalInt descriptorLimit = DescriptorLimit.ofThisProcess();
    if (descriptorLimit.isEmpty()) {
      return Integer.MAX_VALUE;
    }
    int available = descriptorLimit.getAsInt() - RESERVED_DESCRIPTORS;
    return Math.max(1, available / ChpServer.LISTENER_COUNT);
  }

  private static EndpointSource createSource(
      InstanceSettings.Source source, EndpointListCodec codec, EventLoop eventLoop) {
    if (source instanceof InstanceSettings.Source.FromRegistry registry) {
      return new RegistryEndpointSource(
          registry.host(),
          registry.port(),
          registry.service(),
          registry.waitSeconds(),
          codec,
          eventLoop);
    }
    return new FileEndpointSource(
        ((InstanceSettings.Source.FromFile) source).path(), codec, eventLoop);
  }

  /**
   * Binds the ports and starts the decision engine.
   *
   * @throws IOException if a port cannot be bound; the message names the port
   */
  public void start() throws IOException, InterruptedException {
    EngineHost host = createHost();
    server.start(settings.listen().host(), settings.listen().port());
    List<EndpointRecord> cachedEndpoints = cachedEndpointList.read();
    engineThread.start(settings.name(), host);
    onEndpointListUpdate(
        new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, cachedEndpoints));
    source.start(this::onEndpointListUpdate, cachedEndpointList::store);
    LOG.info(
        "assigner {} serves at {}:{} (snapshots), {} (updates), {} (collector); {} endpoints loaded from the saved list",
        settings.name(),
        settings.listen().host(),
        port(),
        port() + 1,
        port() + 2,
        cachedEndpoints.size());
  }

  private EngineHost createHost() {
    long unixMillis = System.currentTimeMillis();
    long seed = unixMillis ^ System.nanoTime();
    HostLimits limits =
        new HostLimits(
            settings.limits().proxies(),
            HostLimits.DEFAULT.reportPairs(),
            HostLimits.DEFAULT.keys());
    // Sequence numbers must increase across restarts: subscribers drop an update whose sequence
    // number is not above that of the update before.
    long firstSequence = unixMillis << SEQUENCE_BITS_PER_MILLI;
    return new EngineHost(
        settings.settings(),
        settings.requestClasses().names(),
        limits,
        Long.toString(unixMillis, Character.MAX_RADIX),
        firstSequence,
        engineFactory().create(settings.settings(), seed, clock.now()),
        new ServerEnvironment(),
        clock.now());
  }

  private EngineFactory engineFactory() {
    if (!settings.weightProposals()) {
      return AssignmentEngine::new;
    }
    return (engineSettings, seed, now) ->
        new AdvisedEngine(
            new AssignmentEngine(engineSettings, seed, now), new WeightAdvisor(engineSettings));
  }

  private void onEndpointListUpdate(Event.EndpointListUpdate update) {
    engineThread.post((host, now) -> host.handleEndpointListUpdate(update, now));
  }

  /** Publishes updates through the server and forwards endpoint list requests to the source. */
  private final class ServerEnvironment implements HostEnvironment {
    private final EndpointListRequests endpointListRequests = EndpointListRequests.to(source);

    @Override
    public void publish(List<KeyUpdate> updates) {
      if (!updates.isEmpty()) {
        server.publish(ChpProxyApi.publications(updates));
      }
    }

    @Override
    public void watchEndpoints(boolean enabled) {
      endpointListRequests.watchEndpoints(enabled);
    }

    @Override
    public void fetchEndpoints() {
      endpointListRequests.fetchEndpoints();
    }
  }

  /**
   * Returns the port for snapshots; the next two ports are those for updates and for the collector.
   */
  public int port() {
    return server.port();
  }

  @Override
  public Optional<Throwable> awaitEnd() throws InterruptedException {
    return engineThread.awaitEnd();
  }

  /** Closes the listeners, sends pending data including snapshots, and closes all connections. */
  @Override
  public void stop() throws InterruptedException {
    source.stop();
    server.stopListening();
    engineThread.stop();
    server.stop(STOP_TIMEOUT_MILLIS);
    cachedEndpointList.stop();
    DurationHistogram batchDurations = engineThread.batchDurations();
    LOG.info(
        "assigner {} stopped: {} batches, duration p50 {} us, p99 {} us, max {} us; {} messages refused",
        settings.name(),
        batchDurations.count(),
        batchDurations.atPercentile(50) / NANOS_PER_MICRO,
        batchDurations.atPercentile(99) / NANOS_PER_MICRO,
        batchDurations.max() / NANOS_PER_MICRO,
        engineThread.refusedJobCount());
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
