package stonespring.testbed;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayDeque;
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
 * An endpoint on loopback with cores, a queue, a warm-up after a start, a cost of new connections,
 * load reports in its answers and a ledger of effects. Work takes its time by the clock and no
 * processor. Requests are handled on one event loop; faults may be set from any thread. Times are
 * milliseconds on the evidence's clock.
 */
final class EndpointStandIn {
  /** A request's mean service time by request class, and that of all other classes. */
  record ServiceTimes(Map<String, Double> millisByClass, double otherMillis) {}

  /**
   * The warm-up after a start.
   *
   * @param initialFraction of the capacity, at the start
   * @param overloadMultiple of its capacity over the window, above which the endpoint crashes
   */
  record SlowStart(
      double initialFraction,
      double durationMillis,
      double overloadMultiple,
      double overloadWindowMillis) {}

  /**
   * What an endpoint is like.
   *
   * @param handshakeMillis a core's time that a new connection takes
   * @param deduplicationWindowMillis by request class, for those that have one
   */
  record Specification(
      int cores,
      int queueLimit,
      int connectionLimit,
      double handshakeMillis,
      ServiceTimes serviceTimes,
      Map<String, Double> deduplicationWindowMillis,
      SlowStart slowStart) {}

  private record QueuedRequest(
      String id,
      String requestClass,
      int attempt,
      double workMillis,
      double deadline,
      HttpServer.Exchange exchange) {}

  private static final int MAX_REQUEST_BYTES = 64 << 10;
  private static final double LONG_AGO = -1e9;

  private final String name;
  private final String zone;
  private final Specification specification;
  private final EventLoopGroup loops;
  private final EventLoop loop;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private final OverloadDetector overload;
  private final EffectLedger ledger;
  private final UtilizationMeter utilization;
  private HttpServer server;
  private int port;
  private int busyCores;
  private int incarnation; // work of an earlier one is not finished by a later one
  private double startedAt = LONG_AGO;
  private double pausedUntil;
  private volatile boolean up;
  private volatile ChannelFuture listenerClosed;

  // Faults.
  private volatile boolean silent;
  private volatile double errorFraction;
  private volatile double lostAnswerFraction;
  private volatile String failingRequestClass = "";
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
    this.overload = new OverloadDetector(specification.slowStart().overloadWindowMillis());
    this.ledger = new EffectLedger(specification.deduplicationWindowMillis());
    this.utilization = new UtilizationMeter(specification.cores());
  }

  String zone() {
    return zone;
  }

  /** Its id in endpoint lists and route tables. */
  String id() {
    return name + "@127.0.0.1:" + port;
  }

  String name() {
    return name;
  }

  int port() {
    return port;
  }

  /** When its last start with a warm-up was; long ago where there was none. */
  double warmUpStartedAtMillis() {
    return startedAt;
  }

  boolean isUp() {
    return up;
  }

  /** Sets the port of its first start; without it, any free one is taken. */
  void setPort(int newPort) {
    port = newPort;
  }

  /** Starts, warming up or warm; a second start takes the same port. */
  void start(boolean warmingUp) throws IOException, InterruptedException {
    if (listenerClosed != null) {
      listenerClosed.await(); // the port is taken until then
    }
    server = new HttpServer(new ServerHandler(), MAX_REQUEST_BYTES).start(loops, "127.0.0.1", port);
    port = server.port();
    loop.submit(() -> reset(warmingUp)).sync();
    evidence.add(new Evidence.ProcessChange(evidence.now(), id(), zone, true, warmingUp));
  }

  private void reset(boolean warmingUp) {
    incarnation++;
    busyCores = 0;
    queue.clear();
    overload.clear();
    startedAt = warmingUp ? evidence.now() : LONG_AGO;
    silent = false;
    errorFraction = 0;
    up = true;
  }

  /** Dies at once: every connection breaks, queued requests are lost. */
  void crash() {
    if (up) {
      up = false;
      evidence.add(new Evidence.ProcessChange(evidence.now(), id(), zone, false, false));
      listenerClosed = server.stop();
      loop.execute(() -> incarnation++);
    }
  }

  /** Leaves all requests without an answer, or ends that. */
  void setSilent(boolean on) {
    silent = on;
  }

  /** Starts and finishes no work for a time. */
  void pause(double millis) {
    loop.execute(() -> pausedUntil = evidence.now() + millis);
  }

  /** Fails a fraction of the requests at once. */
  void setErrorFraction(double fraction) {
    errorFraction = fraction;
  }

  /** Executes requests and breaks the connection in place of a fraction of the answers. */
  void setLostResponseFraction(double fraction) {
    lostAnswerFraction = fraction;
  }

  /** Fails all requests of a class; an empty name ends that. */
  void setFailingRequestClass(String requestClass) {
    failingRequestClass = requestClass;
  }

  /** Reports a multiple of its utilization. */
  void setReportMultiple(double multiple) {
    reportMultiple = multiple;
    evidence.add(new Evidence.FalseReport(evidence.now(), id(), 1 / Math.max(0.01, multiple)));
  }

  void setHandshakeMultiple(double multiple) {
    handshakeMultiple = multiple;
  }

  /** Leaves requests from some zones without an answer. */
  void setUnreachableZones(Set<String> zones) {
    unreachableZones = zones;
  }

  private final class ServerHandler implements HttpServer.Handler {
    @Override
    public void handle(HttpRequest request, HttpServer.Exchange exchange) {
      loop.execute(() -> receive(request, exchange));
    }

    @Override
    public boolean accept(Channel channel) {
      if (openConnections.incrementAndGet() > specification.connectionLimit()) {
        openConnections.decrementAndGet();
        return false;
      }
      channel.closeFuture().addListener(closed -> openConnections.decrementAndGet());
      loop.execute(() -> occupyCore(specification.handshakeMillis() * handshakeMultiple));
      return true;
    }
  }

  /** The fraction of its capacity that it has now. */
  private double warmUpFraction() {
    SlowStart slowStart = specification.slowStart();
    double progress = (evidence.now() - startedAt) / slowStart.durationMillis();
    if (progress >= 1) {
      return 1;
    }
    double initial = slowStart.initialFraction();
    return initial + (1 - initial) * Math.max(0, progress);
  }

  private void receive(HttpRequest request, HttpServer.Exchange exchange) {
    if (!up || silent || unreachableZones.contains(request.header("x-zone"))) {
      return;
    }
    double now = evidence.now();
    String path = request.target();
    String requestClass = path.substring(path.lastIndexOf('/') + 1);
    int attempt = numericHeader(request, "x-try", 1);
    String requestId = request.header("x-op");
    evidence.add(
        new Evidence.Arrival(
            now, id(), request.header("x-proxy"), requestId, requestClass, attempt));
    double work = meanServiceMillis(requestClass) * (0.5 + random.nextDouble());
    if (crashesFromOverload(now, work)) {
      return;
    }
    if (random.nextDouble() < errorFraction || requestClass.equals(failingRequestClass)) {
      answer(exchange, HttpResponse.of(500, "failed\n"));
    } else if (queue.size() >= specification.queueLimit()) {
      answer(exchange, HttpResponse.of(503, "full\n").setHeader(ProxyHeaders.NOT_EXECUTED, "1"));
    } else {
      double deadline = now + numericHeader(request, "x-op-timeout-ms", Integer.MAX_VALUE);
      queue.add(new QueuedRequest(requestId, requestClass, attempt, work, deadline, exchange));
      startQueued();
    }
  }

  private double meanServiceMillis(String requestClass) {
    ServiceTimes times = specification.serviceTimes();
    return times.millisByClass().getOrDefault(requestClass, times.otherMillis());
  }

  /** A header's number; requests that were sent by hand may lack the header. */
  private static int numericHeader(HttpRequest request, String header, int otherwise) {
    String value = request.header(header);
    return value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : otherwise;
  }

  /** Crashes a warming-up endpoint that is sent more than a multiple of what it can do. */
  private boolean crashesFromOverload(double now, double work) {
    if (warmUpFraction() >= 1) {
      return false;
    }
    double multiple = overload.add(now, work, specification.cores() * warmUpFraction());
    if (multiple <= specification.slowStart().overloadMultiple()) {
      return false;
    }
    evidence.add(new Evidence.Overloaded(now, id(), multiple));
    crash();
    return true;
  }

  private void occupyCore(double workMillis) {
    busyCores++;
    whenWorked(workMillis / warmUpFraction(), () -> {});
  }

  /** Frees the core after a time, unless the process has died since. */
  private void whenWorked(double millis, Runnable then) {
    int startedIn = incarnation;
    afterPauses(
        millis,
        () -> {
          if (startedIn == incarnation) {
            busyCores--;
            then.run();
            startQueued();
          }
        });
  }

  private void afterPauses(double millis, Runnable then) {
    loop.schedule(
        () -> {
          double pauseLeft = pausedUntil - evidence.now();
          if (pauseLeft > 0) {
            afterPauses(pauseLeft, then);
          } else {
            then.run();
          }
        },
        (long) (millis * 1000),
        TimeUnit.MICROSECONDS);
  }

  private void startQueued() {
    while (busyCores < specification.cores() && !queue.isEmpty() && evidence.now() >= pausedUntil) {
      execute(queue.poll());
    }
    if (!queue.isEmpty() && evidence.now() < pausedUntil) {
      long pauseLeft = (long) (pausedUntil - evidence.now()) + 1;
      loop.schedule(this::startQueued, pauseLeft, TimeUnit.MILLISECONDS);
    }
  }

  private void execute(QueuedRequest request) {
    double now = evidence.now();
    if (now > request.deadline()) {
      answer(
          request.exchange(),
          HttpResponse.of(504, "too late\n").setHeader(ProxyHeaders.NOT_EXECUTED, "1"));
      return;
    }
    busyCores++;
    if (ledger.takesEffect(request.id(), request.requestClass(), now)) {
      evidence.add(
          new Evidence.Effect(now, id(), request.id(), request.requestClass(), request.attempt()));
    }
    double duration = request.workMillis() / warmUpFraction();
    utilization.busy(now, duration);
    whenWorked(
        duration,
        () -> answer(request.exchange(), HttpResponse.of(200, "done " + request.id() + "\n")));
  }

  private void answer(HttpServer.Exchange exchange, HttpResponse answer) {
    if (answer.status() == 200 && random.nextDouble() < lostAnswerFraction) {
      exchange.channel().close();
      return;
    }
    String load =
        String.format(
            Locale.ROOT,
            "TEXT cpu_utilization=%.3f,named_metrics.waiting=%d",
            Math.min(1, reportMultiple * utilization.utilization(evidence.now())),
            queue.size());
    exchange.respond(answer.setHeader(LoadReportHeader.NAME, load));
  }
}
