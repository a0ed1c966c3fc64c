package stonespring.testbed;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import stonespring.http.HttpCallFailure;
import stonespring.http.HttpCallResult;
import stonespring.http.HttpClient;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.proxy.ProxyHeaders;

/**
 * The clients of one proxy: ops come by chance and do not wait for answers. A client asks again by
 * itself after a failure, where the op may run again, or where the answer says that it certainly
 * did not run; all tries count with the first. It gives up at the op timeout.
 */
final class ClientStandIn {
  /** One op type as clients know it. */
  record Asked(String opType, double share, boolean retryable, double timeoutMillis) {}

  private static final double TICK = 5; // ms
  private static final int AGAIN_MOST = 2;
  private static final long AGAIN_AFTER = 300; // ms
  private static final int CONNECTIONS = 64;

  private final EventLoop loop;
  private final Evidence evidence;
  private final List<Asked> types;
  private final String proxy;
  private final int port;
  private final SplittableRandom random;
  private final HttpClient client;
  private final AtomicInteger open;
  private volatile double opsPerSecond;
  private volatile double patience = 1;
  private boolean stopped;
  private long count;

  ClientStandIn(
      EventLoop loop,
      Evidence evidence,
      List<Asked> types,
      String proxy,
      int port,
      double opsPerSecond,
      long seed,
      AtomicInteger open) {
    this.loop = loop;
    this.evidence = evidence;
    this.types = types;
    this.proxy = proxy;
    this.port = port;
    this.opsPerSecond = opsPerSecond;
    this.random = new SplittableRandom(seed);
    this.client = new HttpClient(loop, 500, 64 << 10, CONNECTIONS);
    this.open = open;
  }

  void start() {
    loop.execute(() -> arrive(evidence.now() + gap()));
  }

  void rate(double ops) {
    opsPerSecond = ops;
  }

  /** The part of the op timeout after which clients give up. */
  void patience(double part) {
    patience = part;
  }

  void stop() {
    loop.execute(() -> stopped = true);
  }

  private double gap() {
    return -Math.log(1 - random.nextDouble()) * 1000 / Math.max(0.001, opsPerSecond);
  }

  private void arrive(double next) {
    if (stopped) {
      return;
    }
    double at = next;
    for (; at <= evidence.now(); at += gap()) {
      ask();
    }
    double then = at;
    loop.schedule(
        () -> arrive(then),
        (long) Math.max(1, Math.min(TICK, at - evidence.now())),
        TimeUnit.MILLISECONDS);
  }

  private void ask() {
    double draw = random.nextDouble();
    Asked type = types.get(types.size() - 1);
    for (Asked some : types) {
      draw -= some.share();
      if (draw < 0) {
        type = some;
        break;
      }
    }
    open.incrementAndGet();
    attempt(type, proxy + "-" + ++count, evidence.now(), 0);
  }

  private void attempt(Asked type, String op, double askedAt, int again) {
    double left = askedAt + type.timeoutMillis() * patience - evidence.now();
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
    HttpRequest request =
        HttpRequest.post(address, "/op/" + type.opType(), new byte[0])
            .setHeader("x-op", op)
            .setHeader("x-op-timeout-ms", String.valueOf((long) Math.max(1, left)))
            .setHeader("content-length", "0");
    client.call(
        address,
        request,
        (long) Math.max(1, left),
        result -> {
          HttpResponse answer =
              result instanceof HttpCallResult.Completed completed ? completed.response() : null;
          HttpCallFailure failure =
              result instanceof HttpCallResult.Failed failed ? failed.failure() : null;
          boolean good = answer != null && answer.status() == 200;
          boolean notRun =
              answer != null
                  ? answer.header(ProxyHeaders.NOT_EXECUTED).equals("1")
                  : failure == HttpCallFailure.CONNECT_FAILED;
          double rest = askedAt + type.timeoutMillis() * patience - evidence.now();
          if (!good
              && again < AGAIN_MOST
              && rest > AGAIN_AFTER + 50
              && (type.retryable() || notRun)) {
            loop.schedule(
                () -> attempt(type, op, askedAt, again + 1), AGAIN_AFTER, TimeUnit.MILLISECONDS);
            return;
          }
          open.decrementAndGet();
          evidence.add(
              new Evidence.Outcome(
                  askedAt,
                  proxy,
                  op,
                  type.opType(),
                  answer == null ? 0 : answer.status(),
                  answer == null ? String.valueOf(failure) : answer.header("x-reason"),
                  notRun,
                  evidence.now() - askedAt,
                  evidence.now()));
        });
  }
}
