package stonespring.testbed;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.http.HttpServer;
import stonespring.proxy.LoadReportHeader;
import stonespring.proxy.ProxyHeaders;

/**
 * A task as the deployments' pages describe one: cores, a queue, cold after a start, open
 * connections at a cost, a load report in its answers, and a ledger of effects. Work takes its time
 * by the clock and no processor. All of its state lives on one event loop.
 */
final class TaskStandIn {
  /** What a task is made of; works in milliseconds by op type, {@code otherMillis} for the rest. */
  record Make(
      int cores,
      int queue,
      int connections,
      double handshakeMillis,
      Map<String, Double> workMillis,
      double otherMillis,
      Map<String, Double> windowMillis,
      double coldShare,
      double coldMillis,
      double fallMultiple,
      double fallMillis) {}

  private record Job(
      String op,
      String opType,
      int tryNumber,
      double work,
      double until,
      HttpServer.Exchange exchange) {}

  private final String name;
  private final String zone;
  private final Make make;
  private final EventLoopGroup loops;
  private final EventLoop loop;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final AtomicInteger open = new AtomicInteger();
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final ArrayDeque<double[]> arrived = new ArrayDeque<>();
  private final Map<String, Double> met = new HashMap<>();
  private final ArrayDeque<double[]> busySpans = new ArrayDeque<>();
  private HttpServer server;
  private int port;
  private int running;
  private int life;
  private double startedAt = -1e9;
  private double stillUntil;
  private volatile boolean up;

  // Troubles; set by the day from its own thread.
  private volatile io.netty.channel.ChannelFuture stopped;
  private volatile boolean silent;
  private volatile double errorShare;
  private volatile double lostShare;
  private volatile String failingType = "";
  private volatile double reportTimes = 1;
  private volatile double handshakeTimes = 1;
  private volatile Set<String> cutZones = Set.of();

  TaskStandIn(
      String name, String zone, Make make, EventLoopGroup loops, Evidence evidence, long seed) {
    this.name = name;
    this.zone = zone;
    this.make = make;
    this.loops = loops;
    this.loop = loops.next();
    this.evidence = evidence;
    this.random = new SplittableRandom(seed);
  }

  String zone() {
    return zone;
  }

  /** Its id in lists and tables. */
  String id() {
    return name + "@127.0.0.1:" + port;
  }

  String name() {
    return name;
  }

  int port() {
    return port;
  }

  /** The port that its first start takes; any free one otherwise. */
  void listenAt(int wanted) {
    port = wanted;
  }

  /** Starts, cold or warm; a second start takes the same port. */
  void start(boolean cold) throws IOException, InterruptedException {
    if (stopped != null) {
      stopped.await(); // a port is taken until its listener has ended
    }
    server =
        new HttpServer(
                new HttpServer.Handler() {
                  @Override
                  public void handle(HttpRequest request, HttpServer.Exchange exchange) {
                    loop.execute(() -> take(request, exchange));
                  }

                  @Override
                  public boolean accept(Channel channel) {
                    if (open.incrementAndGet() > make.connections()) {
                      open.decrementAndGet();
                      return false;
                    }
                    channel.closeFuture().addListener(f -> open.decrementAndGet());
                    loop.execute(() -> occupy(make.handshakeMillis() * handshakeTimes));
                    return true;
                  }
                },
                64 << 10)
            .start(loops, "127.0.0.1", port);
    port = server.port();
    loop.submit(
            () -> {
              life++;
              running = 0;
              queue.clear();
              arrived.clear();
              startedAt = cold ? evidence.now() : -1e9;
              silent = false;
              errorShare = 0;
              up = true;
            })
        .sync();
    evidence.add(new Evidence.Life(evidence.now(), id(), zone, true, cold));
  }

  double startedAt() {
    return startedAt;
  }

  boolean isUp() {
    return up;
  }

  /** Dies at once: every connection breaks, what it held is lost. */
  void crash() {
    if (up) {
      up = false;
      evidence.add(new Evidence.Life(evidence.now(), id(), zone, false, false));
      stopped = server.stop();
      loop.execute(() -> life++);
    }
  }

  void silent(boolean on) {
    silent = on;
  }

  void still(double millis) {
    loop.execute(() -> stillUntil = evidence.now() + millis);
  }

  void errors(double share) {
    errorShare = share;
  }

  /** Runs what comes and breaks the connection in place of a share of the answers. */
  void losesAnswers(double share) {
    lostShare = share;
  }

  void failType(String opType) {
    failingType = opType;
  }

  void falseReports(double times) {
    reportTimes = times;
    evidence.add(new Evidence.Claims(evidence.now(), id(), 1 / Math.max(0.01, times)));
  }

  void slowHandshakes(double times) {
    handshakeTimes = times;
  }

  void cutFrom(Set<String> zones) {
    cutZones = zones;
  }

  private double warmth() {
    double age = (evidence.now() - startedAt) / make.coldMillis();
    return age >= 1 ? 1 : make.coldShare() + (1 - make.coldShare()) * Math.max(0, age);
  }

  private void take(HttpRequest request, HttpServer.Exchange exchange) {
    if (!up || silent || cutZones.contains(request.header("x-zone"))) {
      return; // nothing comes back; whoever asked waits in vain
    }
    double now = evidence.now();
    String type = request.target().substring(request.target().lastIndexOf('/') + 1);
    int tryNumber = whole(request.header("x-try"), 1);
    String op = request.header("x-op");
    evidence.add(new Evidence.Arrival(now, id(), request.header("x-proxy"), op, type, tryNumber));
    double work =
        make.workMillis().getOrDefault(type, make.otherMillis()) * (0.5 + random.nextDouble());
    if (falls(now, work)) {
      return;
    }
    if (random.nextDouble() < errorShare || type.equals(failingType)) {
      answer(exchange, HttpResponse.of(500, "failed\n"));
    } else if (queue.size() >= make.queue()) {
      answer(exchange, HttpResponse.of(503, "full\n").setHeader(ProxyHeaders.NOT_EXECUTED, "1"));
    } else {
      double until = now + whole(request.header("x-op-timeout-ms"), Integer.MAX_VALUE);
      queue.add(new Job(op, type, tryNumber, work, until, exchange));
      next();
    }
  }

  /** A header's whole number; who calls a task by hand may leave it out. */
  private static int whole(String header, int otherwise) {
    return header.matches("[0-9]{1,9}") ? Integer.parseInt(header) : otherwise;
  }

  /**
   * A cold task that is sent more than a multiple of what it can do, over a window, falls and stays
   * down.
   */
  private boolean falls(double now, double work) {
    if (warmth() >= 1) {
      return false;
    }
    arrived.add(new double[] {now, work});
    while (now - arrived.peek()[0] > make.fallMillis()) {
      arrived.poll();
    }
    double sum = arrived.stream().mapToDouble(a -> a[1]).sum();
    double bears = make.cores() * warmth() * make.fallMillis();
    if (sum <= make.fallMultiple() * bears) {
      return false;
    }
    evidence.add(new Evidence.Fell(now, id(), sum / bears));
    crash();
    return true;
  }

  private void occupy(double work) {
    running++;
    int mine = life;
    finishAfter(
        work / warmth(),
        () -> {
          if (mine == life) {
            running--;
            next();
          }
        });
  }

  private void finishAfter(double millis, Runnable then) {
    loop.schedule(
        () -> {
          double wait = stillUntil - evidence.now();
          if (wait > 0) {
            finishAfter(wait, then);
          } else {
            then.run();
          }
        },
        (long) (millis * 1000),
        TimeUnit.MICROSECONDS);
  }

  private void next() {
    while (running < make.cores() && !queue.isEmpty() && evidence.now() >= stillUntil) {
      Job job = queue.poll();
      double now = evidence.now();
      if (now > job.until()) {
        answer(
            job.exchange(),
            HttpResponse.of(504, "too late\n").setHeader(ProxyHeaders.NOT_EXECUTED, "1"));
        continue;
      }
      running++;
      effect(job, now);
      double took = job.work() / warmth();
      busySpans.add(new double[] {now, took});
      int mine = life;
      finishAfter(
          took,
          () -> {
            if (mine != life) {
              return;
            }
            running--;
            answer(job.exchange(), HttpResponse.of(200, "done " + job.op() + "\n"));
            next();
          });
    }
    if (!queue.isEmpty() && evidence.now() < stillUntil) {
      loop.schedule(this::next, (long) (stillUntil - evidence.now()) + 1, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * The ledger: every effect is written down; a repeat of a deduplicated op within its window has
   * none.
   */
  private void effect(Job job, double now) {
    Double window = make.windowMillis().get(job.opType());
    if (window != null) {
      met.values().removeIf(at -> now - at > window);
      if (met.putIfAbsent(job.op(), now) != null) {
        return;
      }
    }
    evidence.add(new Evidence.Effect(now, id(), job.op(), job.opType(), job.tryNumber()));
  }

  private void answer(HttpServer.Exchange exchange, HttpResponse answer) {
    if (answer.status() == 200 && random.nextDouble() < lostShare) {
      exchange.channel().close();
      return;
    }
    double now = evidence.now();
    busySpans.removeIf(span -> span[0] + span[1] < now - 500);
    double busy =
        busySpans.stream()
            .mapToDouble(s -> Math.min(now, s[0] + s[1]) - Math.max(now - 500, s[0]))
            .sum();
    exchange.respond(
        answer.setHeader(
            LoadReportHeader.NAME,
            String.format(
                Locale.ROOT,
                "TEXT cpu_utilization=%.3f,named_metrics.waiting=%d",
                Math.min(1, reportTimes * busy / 500 / make.cores()),
                queue.size())));
  }
}
