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
 * A simulated endpoint on a loopback port. It has a number of cores, a bounded queue and a slow
 * start; new connections take core time, responses carry load reports, and repeated requests are
 * deduplicated. Work is simulated by timers and uses no processor time. Requests are handled on one
 * event loop; faults may be set from any thread. Points in time are milliseconds on the clock of
 * {@link Evidence}.
 */
final class EndpointStandIn {
  /** Mean service times by request class, and the default for classes that are not listed. */
  record ServiceTimes(Map<String, Double> millisByClass, double defaultMillis) {}

  /**
   * The slow start: the capacity grows linearly from a fraction to the whole.
   *
   * @param initialFraction the warm-up fraction at the start, 0 to 1
   * @param overloadMultiple a warming endpoint crashes when the work that arrives within the
   *     overload window exceeds this multiple of the work that it can do in that time
   */
  record SlowStart(
      double initialFraction,
      double durationMillis,
      double overloadMultiple,
      double overloadWindowMillis) {}

  /**
   * The properties of an endpoint.
   *
   * @param queueLimit the maximum number of requests that wait for a core; further requests are
   *     rejected
   * @param connectionLimit the maximum number of open connections; further connections are closed
   *     on accept
   * @param handshakeMillis the core time that a new connection takes
   * @param deduplicationWindowMillis the deduplication window by request class, for the classes
   *     that have one
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

  /**
   * Warm-up start of an endpoint that starts without a slow start: a time so long ago that any
   * warm-up is over.
   */
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

  /** Counts starts and crashes, so that timers of an earlier process don't complete its work. */
  private int incarnation;

  private double warmUpStartedAtMillis = LONG_AGO_MILLIS;
  private double pausedUntilMillis;
  private volatile boolean up;
  private volatile ChannelFuture listenerClosed;

  // Faults. A start ends silence and random errors; the others stay until they are set again.
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

  /** The endpoint's id in endpoint lists and route tables; valid once a port is set. */
  String id() {
    return name + "@127.0.0.1:" + port;
  }

  String name() {
    return name;
  }

  int port() {
    return port;
  }

  /** The time of the last start if it was a slow start, otherwise {@link #LONG_AGO_MILLIS}. */
  double warmUpStartedAtMillis() {
    return warmUpStartedAtMillis;
  }

  boolean isUp() {
    return up;
  }

  /** Sets the port to listen at; without a call, the first start takes any free port. */
  void setPort(int newPort) {
    port = newPort;
  }

  /**
   * Starts the endpoint; a restart listens at the same port.
   *
   * @param warmingUp whether the endpoint goes through its slow start
   */
  void start(boolean warmingUp) throws IOException, InterruptedException {
    if (listenerClosed != null) {
      listenerClosed.await(); // the previous listener holds the port until it is closed
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

  /** Crashes the endpoint: closes every connection and drops queued requests. */
  void crash() {
    if (up) {
      up = false;
      evidence.add(new Evidence.ProcessChange(evidence.now(), id(), zone, false, false));
      listenerClosed = server.stop();
      loop.execute(() -> incarnation++);
    }
  }

  /** Switches the silence fault: while on, requests are read but neither executed nor answered. */
  void setSilent(boolean on) {
    silent = on;
  }

  /** Pauses the endpoint: for this time, it neither starts nor finishes work. */
  void pause(double millis) {
    loop.execute(() -> pausedUntilMillis = evidence.now() + millis);
  }

  /** Sets the fraction of requests, 0 to 1, that fail at once with status 500. */
  void setErrorFraction(double fraction) {
    errorFraction = fraction;
  }

  /**
   * Sets the fraction of successful responses, 0 to 1, that are lost: the request is executed, but
   * the connection is closed instead of sending the response.
   */
  void setLostResponseFraction(double fraction) {
    lostResponseFraction = fraction;
  }

  /** Sets the one request class whose requests all fail; an empty name stands for none. */
  void setFailingRequestClass(String requestClass) {
    failingRequestClass = requestClass;
  }

  /** Sets the multiple of the actual utilization that load reports claim; 1 for true reports. */
  void setReportMultiple(double multiple) {
    reportMultiple = multiple;
    evidence.add(new Evidence.FalseReport(evidence.now(), id(), 1 / Math.max(0.01, multiple)));
  }

  /** Sets the multiple of the usual core time that new connections take. */
  void setHandshakeMultiple(double multiple) {
    handshakeMultiple = multiple;
  }

  /** Sets the zones whose requests are neither executed nor answered. */
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

  /** The fraction of the full capacity that is available now, up to 1. */
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

  /** Parses a numeric header; returns the default where it is missing, as in manual requests. */
  private static int numericHeader(HttpRequest request, String header, int defaultValue) {
    String value = request.header(header);
    return value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : defaultValue;
  }

  /**
   * Counts the work of an arriving request while the endpoint warms up and crashes it on overload;
   * returns whether it crashed.
   */
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

  /** Keeps a core busy with work that no request waits for. */
  private void occupyCore(double workMillis) {
    busyCores++;
    finishWorkAfter(workMillis / warmUpFraction(), () -> {});
  }

  /** Frees a core and runs an action after a time, unless the endpoint has crashed since. */
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

  /** Runs an action after a time, or at the end of the pause into which that time falls. */
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
