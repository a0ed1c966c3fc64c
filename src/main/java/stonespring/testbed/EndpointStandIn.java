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
  record ServiceTimes(Map<String, Double> millisByClass, double defaultMillis) {}

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
      double deadlineMillis,
      HttpServer.Exchange exchange) {}

  private static final int MAX_REQUEST_BYTES = 64 << 10;
  private static final double LONG_AGO_MILLIS = -1e9;

  private final String name;
  private final String zone;
  private final Specification specification;
  private final EventLoopGroup loops;
  private final EventLoop loop;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private final OverloadDetector overloadDetector;
  private final RequestDeduplicator deduplicator;
  private final UtilizationMeter utilizationMeter;
  private HttpServer server;
  private int port;
  private int busyCores;
  private int incarnation; // work of an earlier one is not finished by a later one
  private double warmUpStartedAtMillis = LONG_AGO_MILLIS;
  private double pausedUntilMillis;
  private volatile boolean up;
  private volatile ChannelFuture listenerClosed;

  // Faults.
  private volatile boolean silent;
  private volatile double errorFraction;
  private volatile double lostResponseFraction;
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
    this.overloadDetector = new OverloadDetector(specification.slowStart().overloadWindowMillis());
    this.deduplicator = new RequestDeduplicator(specification.deduplicationWindowMillis());
    this.utilizationMeter = new UtilizationMeter(specification.cores());
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
    return warmUpStartedAtMillis;
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
    loop.submit(() -> resetState(warmingUp)).sync();
    evidence.add(new Evidence.ProcessChange(evidence.now(), id(), zone, true, warmingUp));
  }

  private void resetState(boolean warmingUp) {
    incarnation++;
    busyCores = 0;
    queue.clear();
    overloadDetector.clear();
    warmUpStartedAtMillis = warmingUp ? evidence.now() : LONG_AGO_MILLIS;
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
    loop.execute(() -> pausedUntilMillis = evidence.now() + millis);
  }

  /** Fails a fraction of the requests at once. */
  void setErrorFraction(double fraction) {
    errorFraction = fraction;
  }

  /** Executes requests and breaks the connection in place of a fraction of the answers. */
  void setLostResponseFraction(double fraction) {
    lostResponseFraction = fraction;
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

  /** Leaves requests from some zones without an response. */
  void setUnreachableZones(Set<String> zones) {
    unreachableZones = zones;
  }

  private final class ServerHandler implements HttpServer.Handler {
    @Override
    public void handle(HttpRequest request, HttpServer.Exchange exchange) {
      loop.execute(() -> handleRequest(request, exchange));
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
    double progress = (evidence.now() - warmUpStartedAtMillis) / slowStart.durationMillis();
    if (progress >= 1) {
      return 1;
    }
    double initial = slowStart.initialFraction();
    return initial + (1 - initial) * Math.max(0, progress);
  }

  private void handleRequest(HttpRequest request, HttpServer.Exchange exchange) {
    if (!up || silent || unreachableZones.contains(request.header("x-zone"))) {
      return;
    }
    double nowMillis = evidence.now();
    String path = request.target();
    String requestClass = path.substring(path.lastIndexOf('/') + 1);
    int attempt = numericHeader(request, "x-try", 1);
    String requestId = request.header("x-op");
    evidence.add(
        new Evidence.Arrival(
            nowMillis, id(), request.header("x-proxy"), requestId, requestClass, attempt));
    double workMillis = meanServiceMillis(requestClass) * (0.5 + random.nextDouble());
    if (crashIfOverloaded(nowMillis, workMillis)) {
      return;
    }
    if (random.nextDouble() < errorFraction || requestClass.equals(failingRequestClass)) {
      respond(exchange, HttpResponse.of(500, "failed\n"));
    } else if (queue.size() >= specification.queueLimit()) {
      respond(exchange, HttpResponse.of(503, "full\n").setHeader(ProxyHeaders.NOT_EXECUTED, "1"));
    } else {
      double deadlineMillis =
          nowMillis + numericHeader(request, "x-op-timeout-ms", Integer.MAX_VALUE);
      queue.add(
          new QueuedRequest(
              requestId, requestClass, attempt, workMillis, deadlineMillis, exchange));
      startQueuedRequests();
    }
  }

  private double meanServiceMillis(String requestClass) {
    ServiceTimes times = specification.serviceTimes();
    return times.millisByClass().getOrDefault(requestClass, times.defaultMillis());
  }

  /** A header's number; requests that were sent by hand may lack the header. */
  private static int numericHeader(HttpRequest request, String header, int defaultValue) {
    String value = request.header(header);
    return value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : defaultValue;
  }

  /** Crashes a warming-up endpoint that is sent more than a multiple of what it can do. */
  private boolean crashIfOverloaded(double nowMillis, double workMillis) {
    if (warmUpFraction() >= 1) {
      return false;
    }
    double multiple =
        overloadDetector.addArrival(
            nowMillis, workMillis, specification.cores() * warmUpFraction());
    if (multiple <= specification.slowStart().overloadMultiple()) {
      return false;
    }
    evidence.add(new Evidence.Overloaded(nowMillis, id(), multiple));
    crash();
    return true;
  }

  private void occupyCore(double workMillis) {
    busyCores++;
    finishWorkAfter(workMillis / warmUpFraction(), () -> {});
  }

  /** Frees the core after a time, unless the process has died since. */
  private void finishWorkAfter(double delayMillis, Runnable action) {
    int incarnationAtStart = incarnation;
    runOutsidePauses(
        delayMillis,
        () -> {
          if (incarnationAtStart == incarnation) {
            busyCores--;
            action.run();
            startQueuedRequests();
          }
        });
  }

  private void runOutsidePauses(double delayMillis, Runnable action) {
    loop.schedule(
        () -> {
          double pauseLeftMillis = pausedUntilMillis - evidence.now();
          if (pauseLeftMillis > 0) {
            runOutsidePauses(pauseLeftMillis, action);
          } else {
            action.run();
          }
        },
        (long) (delayMillis * 1000),
        TimeUnit.MICROSECONDS);
  }

  private void startQueuedRequests() {
    while (busyCores < specification.cores()
        && !queue.isEmpty()
        && evidence.now() >= pausedUntilMillis) {
      execute(queue.poll());
    }
    if (!queue.isEmpty() && evidence.now() < pausedUntilMillis) {
      long pauseLeftMillis = (long) (pausedUntilMillis - evidence.now()) + 1;
      loop.schedule(this::startQueuedRequests, pauseLeftMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void execute(QueuedRequest request) {
    double nowMillis = evidence.now();
    if (nowMillis > request.deadlineMillis()) {
      respond(
          request.exchange(),
          HttpResponse.of(504, "too late\n").setHeader(ProxyHeaders.NOT_EXECUTED, "1"));
      return;
    }
    busyCores++;
    if (deduplicator.recordExecution(request.id(), request.requestClass(), nowMillis)) {
      evidence.add(
          new Evidence.Effect(
              nowMillis, id(), request.id(), request.requestClass(), request.attempt()));
    }
    double durationMillis = request.workMillis() / warmUpFraction();
    utilizationMeter.addBusyTime(nowMillis, durationMillis);
    finishWorkAfter(
        durationMillis,
        () -> respond(request.exchange(), HttpResponse.of(200, "done " + request.id() + "\n")));
  }

  private void respond(HttpServer.Exchange exchange, HttpResponse response) {
    if (response.status() == 200 && random.nextDouble() < lostResponseFraction) {
      exchange.channel().close();
      return;
    }
    String loadReport =
        String.format(
            Locale.ROOT,
            "TEXT cpu_utilization=%.3f,named_metrics.waiting=%d",
            Math.min(1, reportMultiple * utilizationMeter.utilization(evidence.now())),
            queue.size());
    exchange.respond(response.setHeader(LoadReportHeader.NAME, loadReport));
  }
}
