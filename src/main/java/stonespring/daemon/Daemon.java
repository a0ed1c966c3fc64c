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
import stonespring.config.AssignerSettings;
import stonespring.decision.Assigner;
import stonespring.discovery.Entries;
import stonespring.discovery.FileSource;
import stonespring.discovery.RegistrySource;
import stonespring.discovery.SavedList;
import stonespring.discovery.TaskSource;
import stonespring.front.Names;
import stonespring.front.chp.ChpFront;
import stonespring.model.DecisionModule;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.solver.Advised;
import stonespring.solver.Advisor;
import stonespring.state.Update;
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

  private final AssignerSettings settings;
  private final InstanceClock clock = new InstanceClock();
  private final MultiThreadIoEventLoopGroup sockets =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Loop loop;
  private final ChpServer server;
  private final TaskSource source;
  private final SavedList saved;

  public Daemon(AssignerSettings settings) {
    this.settings = settings;
    AssignerSettings.Bounds bounds = settings.bounds();
    this.loop = new Loop(clock, bounds.inbox(), bounds.momentMillis());
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
            new ChpFront(loop, new Names(settings.zones(), settings.opTypeNames())));
    Entries entries = new Entries(settings.zones(), clock.unixOffset());
    this.source = source(settings.source(), entries, (EventLoop) sockets.next());
    this.saved = new SavedList(settings.saved(), entries);
  }

  private static TaskSource source(AssignerSettings.Source from, Entries entries, EventLoop loop) {
    if (from instanceof AssignerSettings.Source.FromRegistry r) {
      return new RegistrySource(r.host(), r.port(), r.service(), r.waitSeconds(), entries, loop);
    }
    return new FileSource(((AssignerSettings.Source.FromFile) from).path(), entries, loop);
  }

  private DecisionModule module(long seed) {
    Assigner assigner = new Assigner(settings.settings(), seed, clock.now());
    return settings.proposals()
        ? new Advised(assigner, new Advisor(settings.settings()))
        : assigner;
  }

  /** Listens and begins to decide; the error names the port that could not be had. */
  public void start() throws IOException, InterruptedException {
    long unixMillis = System.currentTimeMillis();
    String epoch = Long.toString(unixMillis, 36);
    long seed = unixMillis ^ System.nanoTime();
    Outside outside =
        new Outside() {
          @Override
          public void publish(List<Update> updates) {
            if (!updates.isEmpty()) {
              server.publish(ChpFront.publications(updates));
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
    CoreLimits usual = CoreLimits.USUAL;
    // Sequences must rise over restarts, or followers would drop what a restarted instance says.
    Core core =
        new Core(
            settings.settings(),
            settings.opTypeNames(),
            new CoreLimits(settings.bounds().proxies(), usual.reportPairs(), usual.keys()),
            epoch,
            unixMillis << SEQUENCE_SHIFT,
            module(seed),
            outside,
            clock.now());
    server.start(settings.host(), settings.port());
    List<Listing> last = saved.read();
    loop.start(settings.name(), core);
    loop.listTold(new Event.ListTold(Event.ListKind.LAST_SEEN, last));
    source.start(loop::listTold, saved::keep);
    LOG.info(
        "assigner {} serves at {}:{} (snapshots), {} (updates), {} (collector); {} tasks of the saved list",
        settings.name(),
        settings.host(),
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
