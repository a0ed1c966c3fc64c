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
import stonespring.http.HttpMessage;
import stonespring.http.HttpServer;
import stonespring.proxy.LoadHeader;
import stonespring.proxy.Proxy;

/**
 * An endpoint as the deployments' pages describe one: cores, a queue, warming up after a start,
 * open connections at a cost, a load report in its answers, and a ledger of effects. Work takes its
 * time by the clock and no processor. All of its state lives on one event loop.
 */
final class EndpointStandIn {
  /**
   * What an endpoint is made of; works in milliseconds by request class, {@code otherMillis} for
   * the rest.
   */
  record Specification(
      int cores,
      int queue,
      int connections,
      double handshakeMillis,
      Map<String, Double> serviceTimeMillis,
      double otherMillis,
      Map<String, Double> windowMillis,
      double slowStartInitialFraction,
      double slowStartMillis,
      double overloadMultiple,
      double overloadWindowMillis) {}

  private record Job(
      String op,
      String requestClass,
      int attempt,
      double work,
      double until,
      HttpServer.Exchange exchange) {}

  private final String name;
  private final String zone;
  private final Specification specification;
  private final EventLoopGroup loops;
  private final EventLoop loop;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final AtomicInteger open = new AtomicInteger();
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final ArrayDeque<double[]> arrived = new ArrayDeque<>();
  private final Map<String, Double> executedAt = new HashMap<>();
  private final ArrayDeque<double[]> busyIntervals = new ArrayDeque<>();
  private HttpServer server;
  private int port;
  private int running;
  private int life;
  private double startedAt = -1e9;
  private double pausedUntil;
  private volatile boolean up;

  // Faults; set by the scenario from its own thread.
  private volatile io.netty.channel.ChannelFuture stopped;
  private volatile boolean silent;
  private volatile double errorFraction;
  private volatile double lostAnswerFraction;
  private volatile String failingType = "";
  private volatile double reportMultiple = 1;
  private volatile double handshakeMultiple = 1;
  private volatile Set<String> unreachableZones = Set.of();

  EndpointStandIn(
      String name,
      String zone,
      Specification specification,
      EventLoopGroup loops,
      Evidence evidence,
      long seed) {
    this.name = name;
    this.zone = zone;
    this.specification = specification;
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

  /** Starts, warming up or warm; a second start takes the same port. */
  void start(boolean cold) throws IOException, InterruptedException {
    if (stopped != null) {
      stopped.await(); // a port is taken until its listener has ended
    }
    server =
        new HttpServer(
                new HttpServer.Handler() {
                  @Override
                  public void request(HttpMessage request, HttpServer.Exchange exchange) {
                    loop.execute(() -> take(request, exchange));
                  }

                  @Override
                  public boolean opened(Channel channel) {
                    if (open.incrementAndGet() > specification.connections()) {
                      open.decrementAndGet();
                      return false;
                    }
                    channel.closeFuture().addListener(f -> open.decrementAndGet());
                    loop.execute(() -> occupy(specification.handshakeMillis() * handshakeMultiple));
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
              errorFraction = 0;
              up = true;
            })
        .sync();
    evidence.add(new Evidence.ProcessChange(evidence.now(), id(), zone, true, cold));
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
      evidence.add(new Evidence.ProcessChange(evidence.now(), id(), zone, false, false));
      stopped = server.stop();
      loop.execute(() -> life++);
    }
  }

  void silent(boolean on) {
    silent = on;
  }

  void pause(double millis) {
    loop.execute(() -> pausedUntil = evidence.now() + millis);
  }

  void errors(double share) {
    errorFraction = share;
  }

  /** Runs what comes and breaks the connection in place of a share of the answers. */
  void loseAnswers(double share) {
    lostAnswerFraction = share;
  }

  void failRequestClass(String requestClass) {
    failingType = requestClass;
  }

  void falseReports(double times) {
    reportMultiple = times;
    evidence.add(new Evidence.FalseReport(evidence.now(), id(), 1 / Math.max(0.01, times)));
  }

  void slowHandshakes(double times) {
    handshakeMultiple = times;
  }

  void setUnreachableZones(Set<String> zones) {
    unreachableZones = zones;
  }

  private double warmUpFraction() {
    double age = (evidence.now() - startedAt) / specification.slowStartMillis();
    return age >= 1
        ? 1
        : specification.slowStartInitialFraction()
            + (1 - specification.slowStartInitialFraction()) * Math.max(0, age);
  }

  private void take(HttpMessage request, HttpServer.Exchange exchange) {
    if (!up || silent || unreachableZones.contains(request.header("x-zone"))) {
      return; // nothing comes back; whoever asked waits in vain
    }
    double now = evidence.now();
    String type = request.second().substring(request.second().lastIndexOf('/') + 1);
    int attempt = whole(request.header("x-try"), 1);
    String op = request.header("x-op");
    evidence.add(new Evidence.Arrival(now, id(), request.header("x-proxy"), op, type, attempt));
    double work =
        specification.serviceTimeMillis().getOrDefault(type, specification.otherMillis())
            * (0.5 + random.nextDouble());
    if (crashesFromOverload(now, work)) {
      return;
    }
    if (random.nextDouble() < errorFraction || type.equals(failingType)) {
      answer(exchange, HttpMessage.answer(500, "failed\n"));
    } else if (queue.size() >= specification.queue()) {
      answer(exchange, HttpMessage.answer(503, "full\n").with(Proxy.NOT_RUN, "1"));
    } else {
      double until = now + whole(request.header("x-op-timeout-ms"), Integer.MAX_VALUE);
      queue.add(new Job(op, type, attempt, work, until, exchange));
      next();
    }
  }

  /** A header's whole number; who calls an endpoint by hand may leave it out. */
  private static int whole(String header, int otherwise) {
    return header.matches("[0-9]{1,9}") ? Integer.parseInt(header) : otherwise;
  }

  /**
   * A warming-up endpoint that is sent more than a multiple of what it can do, over a window, falls
   * and stays down.
   */
  private boolean crashesFromOverload(double now, double work) {
    if (warmUpFraction() >= 1) {
      return false;
    }
    arrived.add(new double[] {now, work});
    while (now - arrived.peek()[0] > specification.overloadWindowMillis()) {
      arrived.poll();
    }
    double sum = arrived.stream().mapToDouble(a -> a[1]).sum();
    double bears = specification.cores() * warmUpFraction() * specification.overloadWindowMillis();
    if (sum <= specification.overloadMultiple() * bears) {
      return false;
    }
    evidence.add(new Evidence.Overloaded(now, id(), sum / bears));
    crash();
    return true;
  }

  private void occupy(double work) {
    running++;
    int mine = life;
    finishAfter(
        work / warmUpFraction(),
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
          double wait = pausedUntil - evidence.now();
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
    while (running < specification.cores() && !queue.isEmpty() && evidence.now() >= pausedUntil) {
      Job job = queue.poll();
      double now = evidence.now();
      if (now > job.until()) {
        answer(job.exchange(), HttpMessage.answer(504, "too late\n").with(Proxy.NOT_RUN, "1"));
        continue;
      }
      running++;
      effect(job, now);
      double took = job.work() / warmUpFraction();
      busyIntervals.add(new double[] {now, took});
      int mine = life;
      finishAfter(
          took,
          () -> {
            if (mine != life) {
              return;
            }
            running--;
            answer(job.exchange(), HttpMessage.answer(200, "done " + job.op() + "\n"));
            next();
          });
    }
    if (!queue.isEmpty() && evidence.now() < pausedUntil) {
      loop.schedule(this::next, (long) (pausedUntil - evidence.now()) + 1, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * The ledger: every effect is written down; a repeat of a deduplicated request within its window
   * has none.
   */
  private void effect(Job job, double now) {
    Double window = specification.windowMillis().get(job.requestClass());
    if (window != null) {
      executedAt.values().removeIf(at -> now - at > window);
      if (executedAt.putIfAbsent(job.op(), now) != null) {
        return;
      }
    }
    evidence.add(new Evidence.Effect(now, id(), job.op(), job.requestClass(), job.attempt()));
  }

  private void answer(HttpServer.Exchange exchange, HttpMessage answer) {
    if (answer.status() == 200 && random.nextDouble() < lostAnswerFraction) {
      exchange.channel().close();
      return;
    }
    double now = evidence.now();
    busyIntervals.removeIf(span -> span[0] + span[1] < now - 500);
    double busy =
        busyIntervals.stream()
            .mapToDouble(s -> Math.min(now, s[0] + s[1]) - Math.max(now - 500, s[0]))
            .sum();
    exchange.answer(
        answer.with(
            LoadHeader.NAME,
            String.format(
                Locale.ROOT,
                "TEXT cpu_utilization=%.3f,named_metrics.waiting=%d",
                Math.min(1, reportMultiple * busy / 500 / specification.cores()),
                queue.size())));
  }
}
