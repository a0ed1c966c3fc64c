package stonespring.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.config.PlatformConfig;
import stonespring.decision.AssignmentEngine;
import stonespring.discovery.PlatformEndpointCodec;
import stonespring.discovery.PlatformEndpointSource;
import stonespring.line.LineLimits;
import stonespring.line.LineServer;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DecisionEngine;
import stonespring.model.Event;
import stonespring.model.Settings;
import stonespring.proxyapi.NameTable;
import stonespring.proxyapi.platform.PlatformProxyApi;

/**
 * An assigner on the operators' platform: one thread for its sockets and its decisions, since it
 * has a part of one core. What is read together is told together and finished once, no oftener than
 * the settings' round. When the decisions fail they restart with the list held and the proxies that
 * are joined, a bounded number of times.
 */
public final class PlatformDaemon {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformDaemon.class);
  private static final int LINE_BYTES =
      16 << 10; // of a message that comes in; the longest has a few hundred
  private static final int PENDING_BYTES = 64 << 10; // for one peer; over a hundred messages
  private static final int UNJOINED_MILLIS =
      1_500; // ms; half of what a bad client is owed an end in
  private static final int FILES =
      56; // descriptors of the process itself, the listener and discovery's calls
  private static final int UNJOINED_LEAST = 8; // descriptors; some must get in to say who they are
  private static final int UNJOINED_MOST = 256; // descriptors; more only cost memory
  // ms; a period's reports come by every stream and collector, in pieces: half of them told made
  // the other half seem
  // periods without an op. They are old already, and nothing else waits for them.
  private static final int REPORTS_QUIET = 30;
  private static final int REPORTS_WAIT = 200; // ms; by then they are told as they are
  private static final int REPORTS_MOST = 20_000; // events; at that many they are told at once
  private static final long MILLI = 10; // 0.1 ms in one
  private static final long TOOK_MOST =
      60 * DeciMillis.SECOND; // 0.1 ms; the histograms' end, longer counts as that
  private static final long STOP_MILLIS = 300; // ms; what was written is out long before

  private final PlatformConfig file;
  private final Factory factory;
  private final InstanceClock clock = new InstanceClock();
  private final MultiThreadIoEventLoopGroup sockets =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) sockets.next();
  private final PlatformProxyApi front;
  private final LineServer listener;
  private final PlatformEndpointSource source;
  private final CompletableFuture<Throwable> ended = new CompletableFuture<>();
  private final List<Event> events = new ArrayList<>();
  private final List<Event> reports = new ArrayList<>();
  private final EndpointListRequests asks;
  private final Histogram batches = new Histogram(TOOK_MOST, 2);
  private final Histogram answered = new Histogram(TOOK_MOST, 2);
  private long reportsFrom;
  private long reportsTold = -1;
  private long reportsLast;
  private EngineRunner decisions;
  private Runnable whenListFails = () -> {};
  private boolean batchDue;
  private long lastBatch;
  private long timerAt = Long.MAX_VALUE;
  private Future<?> timer;
  private final RestartBudget restarts = new RestartBudget();
  private int failures;
  private boolean stopping;

  public PlatformDaemon(PlatformConfig file) {
    this(file, AssignmentEngine::new);
  }

  /** What makes the decisions, by settings, seed and time. */
  interface Factory {
    DecisionEngine create(Settings settings, long seed, long now);
  }

  PlatformDaemon(PlatformConfig file, Factory factory) {
    this.file = file;
    this.factory = factory;
    Settings settings = file.settings().settings();
    int reserved =
        settings.fleet().proxies()
            + (PlatformProxyApi.COLLECTORS_A_ZONE + 1) * settings.fleet().zones()
            + FILES;
    int unjoined = Math.max(UNJOINED_LEAST, Math.min(UNJOINED_MOST, file.sockets() - reserved));
    this.front =
        new PlatformProxyApi(
            new NameTable(file.settings().zones(), file.settings().requestClassNames()),
            settings.fleet().proxies(),
            this::heard);
    this.listener =
        new LineServer(new LineLimits(LINE_BYTES, unjoined, UNJOINED_MILLIS, PENDING_BYTES), front);
    this.source =
        new PlatformEndpointSource(
            file.discovery(),
            new PlatformEndpointCodec(file.settings().zones(), clock.unixOffset()),
            loop);
    this.asks =
        new EndpointListRequests() {
          @Override
          public void followList(boolean on) {
            source.follow(on);
          }

          @Override
          public void fetchList() {
            source.fetch();
          }
        };
  }

  /** Decides and then listens: whoever gets an answer finds an assigner that knows its list. */
  public void start() throws InterruptedException {
    loop.submit(
            () -> {
              decisions = new EngineRunner(module(file.seed()), asks);
              source.start(this::listTold, list -> {});
              listTold(source.lastSeen(file.cachedEndpointList().orElse(null)));
              batch();
            })
        .sync();
    listener.start(sockets, file.listen());
    LOG.info(
        "assigner {} serves at {}:{}, {} tasks known, {} proxies, room for {} that have not joined",
        file.name(),
        file.listen().getHostString(),
        listener.port(),
        source.held().size(),
        file.settings().settings().fleet().proxies(),
        listener.limits().unjoined());
  }

  /**
   * What else is to be done whenever discovery fails; runs on the event loop, and must not hold it
   * up.
   */
  public void whenListFails(Runnable then) {
    loop.execute(() -> whenListFails = then);
  }

  private DecisionEngine module(long seed) {
    return factory.create(file.settings().settings(), seed, clock.now());
  }

  private void listTold(Event.EndpointListUpdate told) {
    front.listTold(told);
    if (told.kind() != Event.ListUpdateKind.DELTA) {
      LOG.info("list {}: {} entries", told.kind(), told.endpoints().size());
    }
    heard(told);
    if (told.kind() == Event.ListUpdateKind.FETCH_FAILED) {
      whenListFails.run();
    }
  }

  private void heard(Event event) {
    if (event instanceof Event.EndpointOutcomes || event instanceof Event.ProxyRequestRate) {
      reportsLast = clock.now();
      if (reports.isEmpty()) {
        reportsFrom = reportsLast;
        loop.schedule(this::reportsGathered, REPORTS_QUIET, TimeUnit.MILLISECONDS);
      }
      reports.add(event);
      if (reports.size() >= REPORTS_MOST) {
        tellReports();
      }
      return;
    }
    events.add(event);
    wake();
  }

  private void reportsGathered() {
    long now = clock.now();
    long quietAt =
        Math.min(reportsLast + REPORTS_QUIET * MILLI, reportsFrom + REPORTS_WAIT * MILLI);
    if (now >= quietAt) {
      tellReports();
    } else {
      loop.schedule(this::reportsGathered, (quietAt - now) * 100, TimeUnit.MICROSECONDS);
    }
  }

  private void tellReports() {
    events.addAll(reports);
    reports.clear();
    reportsTold = reportsFrom;
    if (!events.isEmpty()) {
      wake();
    }
  }

  private void wake() {
    if (!batchDue) {
      batchDue = true;
      long wait = lastBatch + file.settings().minRoundInterval() - clock.now();
      if (wait <= 0) {
        loop.execute(this::batch); // after what was read together
      } else {
        loop.schedule(this::batch, wait * 100, TimeUnit.MICROSECONDS);
      }
    }
  }

  private void batch() {
    batchDue = false;
    if (stopping) {
      return; // the proxies go elsewhere from now on: what is ordered here could undo what they are
      // told there
    }
    long now = clock.now();
    lastBatch = now;
    List<Event> told = List.copyOf(events);
    events.clear();
    try {
      decisions.timersDue(now);
      told.forEach(event -> decisions.tell(now, event));
      if (decisions.pending()) {
        List<Command> orders = decisions.finish(now);
        front.carryOut(orders, now);
        long done = clock.now();
        batches.recordValue(Math.min(TOOK_MOST, done - now));
        if (reportsTold >= 0) {
          answered.recordValue(Math.min(TOOK_MOST, done - reportsTold));
          reportsTold = -1;
        }
      }
    } catch (DecisionFailedException e) {
      restart(e.getCause());
    } catch (RuntimeException | Error e) {
      restart(
          e); // an error too: the batch's events are lost, and who joined in it would be served by
      // nobody
    }
    long next = decisions.nextTimer();
    if (next != timerAt && next != Long.MAX_VALUE) {
      if (timer != null) {
        timer.cancel(false);
      }
      timerAt = next;
      timer =
          loop.schedule(
              () -> {
                timerAt = Long.MAX_VALUE;
                wake();
              },
              Math.max(0, next - now) * 100,
              TimeUnit.MICROSECONDS);
    }
  }

  /**
   * One bad moment must not take the process down: all its proxies would lose their streams for it.
   */
  private void restart(Throwable cause) {
    failures++;
    if (!restarts.spend(clock.now())) {
      LOG.error(
          "the decisions failed again and again, {} times in all: the assigner ends",
          failures,
          cause);
      ended.complete(cause);
      return;
    }
    LOG.error("the decisions failed and restart", cause);
    events.clear();
    reports.clear();
    decisions = new EngineRunner(module(file.seed() + failures), asks);
    timerAt = Long.MAX_VALUE;
    heard(new Event.EndpointListUpdate(Event.ListUpdateKind.CACHED, source.held()));
    front.restart();
  }

  /** The configuration was replaced: discovery may have moved, the rest needs a new start. */
  public void reloaded(PlatformConfig anew) {
    if (!anew.settings().equals(file.settings()) || !anew.listen().equals(file.listen())) {
      LOG.warn(
          "the new configuration has other settings or another address to listen at: those need a restart");
    }
    source.moveTo(anew.discovery());
  }

  public int port() {
    return listener.port();
  }

  /** Waits until the instance ends; what ended it, null where it was stopped. */
  public Throwable awaitEnd() {
    return ended.join();
  }

  /**
   * Stops: no new connections, what was written goes out, all connections end. May be called once.
   */
  public void stop() throws InterruptedException {
    loop.execute(() -> stopping = true);
    listener.stop();
    source.stop();
    loop.submit(
            () ->
                LOG.info(
                    "assigner {} stops: {} proxies, {} messages dropped; batches p50 {} ms, p99 {} ms, most {} ms; from a "
                        + "period's first report to the orders' last byte p50 {} ms, p99 {} ms, most {} ms",
                    file.name(),
                    front.proxiesHere(),
                    front.dropped(),
                    millis(batches, 50),
                    millis(batches, 99),
                    millis(batches, 100),
                    millis(answered, 50),
                    millis(answered, 99),
                    millis(answered, 100)))
        .await(STOP_MILLIS);
    sockets.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).await(STOP_MILLIS);
    ended.complete(null);
  }

  private static double millis(Histogram of, double percentile) {
    return of.getValueAtPercentile(percentile) / (double) MILLI;
  }
}
