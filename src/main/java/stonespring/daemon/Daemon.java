package stonespring.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
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
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.chp.ChpProxyApi;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;
import stonespring.state.KeyUpdate;
import stonespring.zmtp.ZmtpLimits;

/**
 * A running instance: one event loop for its sockets, one thread for its decisions. It starts with
 * the list that was saved last and no tables; it stops orderly by closing its listeners, writing
 * out what waits, snapshots included, and then its connections.
 */
public final class Daemon {
  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final long STOP_MILLIS =
      2_000; // ms; what waits for peers that read is out long before
  private static final int SEQUENCE_SHIFT =
      20; // bits; room for a million updates in each millisecond of a run

  private final InstanceSettings settings;
  private final InstanceClock clock = new InstanceClock();
  private final MultiThreadIoEventLoopGroup sockets =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopThread loop;
  private final ChpServer server;
  private final EndpointSource source;
  private final CachedEndpointList saved;

  public Daemon(InstanceSettings settings) {
    this.settings = settings;
    InstanceSettings.Limits bounds = settings.limits();
    this.loop = new EventLoopThread(clock, bounds.inboxMessages(), bounds.batchMillis());
    ZmtpLimits usual = ZmtpLimits.USUAL;
    ZmtpLimits limits =
        new ZmtpLimits(
            usual.frameBytes(),
            usual.messageBytes(),
            usual.frames(),
            bounds.pendingBytes(),
            usual.subscriptions(),
            usual.handshakeMillis(),
            bounds.connections());
    this.server =
        new ChpServer(
            sockets,
            limits,
            new ChpProxyApi(
                loop, new NameTable(settings.zones(), settings.requestClasses().names())));
    EndpointListCodec entries = new EndpointListCodec(settings.zones(), clock.unixOffset());
    this.source = source(settings.endpointList().source(), entries, (EventLoop) sockets.next());
    this.saved = new CachedEndpointList(settings.endpointList().cacheFile().orElse(null), entries);
  }

  private static EndpointSource source(
      InstanceSettings.Source from, EndpointListCodec entries, EventLoop loop) {
    if (from instanceof InstanceSettings.Source.FromRegistry r) {
      return new RegistryEndpointSource(
          r.host(), r.port(), r.service(), r.waitSeconds(), entries, loop);
    }
    return new FileEndpointSource(((InstanceSettings.Source.FromFile) from).path(), entries, loop);
  }

  private DecisionEngine module(long seed) {
    AssignmentEngine assigner = new AssignmentEngine(settings.settings(), seed, clock.now());
    return settings.weightProposals()
        ? new AdvisedEngine(assigner, new WeightAdvisor(settings.settings()))
        : assigner;
  }

  /** Listens and begins to decide; the error names the port that could not be had. */
  public void start() throws IOException, InterruptedException {
    long unixMillis = System.currentTimeMillis();
    String epoch = Long.toString(unixMillis, 36);
    long seed = unixMillis ^ System.nanoTime();
    HostEnvironment outside =
        new HostEnvironment() {
          @Override
          public void publish(List<KeyUpdate> updates) {
            if (!updates.isEmpty()) {
              server.publish(ChpProxyApi.publications(updates));
            }
          }

          @Override
          public void followList(boolean on) {
            source.follow(on);
          }

          @Override
          public void fetchList() {
            source.fetch();
          }
        };
    HostLimits usual = HostLimits.USUAL;
    // Sequences must rise over restarts, or followers would drop what a restarted instance says.
    EngineHost core =
        new EngineHost(
            settings.settings(),
            settings.requestClasses().names(),
            new HostLimits(settings.limits().proxies(), usual.reportPairs(), usual.keys()),
            epoch,
            unixMillis << SEQUENCE_SHIFT,
            module(seed),
            outside,
            clock.now());
    server.start(settings.listen().host(), settings.listen().port());
    List<EndpointRecord> last = saved.read();
    loop.start(settings.name(), core);
    loop.listTold(new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, last));
    source.start(loop::listTold, saved::keep);
    LOG.info(
        "assigner {} serves at {}:{} (snapshots), {} (updates), {} (collector); {} tasks of the saved list",
        settings.name(),
        settings.listen().host(),
        port(),
        port() + 1,
        port() + 2,
        last.size());
  }

  public int port() {
    return server.port();
  }

  /** Waits until the instance ends; what ended it, null where it was stopped. */
  public Throwable awaitEnd() throws InterruptedException {
    return loop.awaitEnd();
  }

  /** Stops orderly; may be called once. */
  public void stop() throws InterruptedException {
    source.stop();
    server.stopListening();
    loop.stop();
    server.stop(STOP_MILLIS);
    saved.stop();
    Histogram took = loop.moments();
    LOG.info(
        "assigner {} stopped: {} moments with decisions, p50 {} us, p99 {} us, most {} us; {} words refused",
        settings.name(),
        took.getTotalCount(),
        took.getValueAtPercentile(50) / 1000,
        took.getValueAtPercentile(99) / 1000,
        took.getMaxValue() / 1000,
        loop.refused());
    sockets.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
