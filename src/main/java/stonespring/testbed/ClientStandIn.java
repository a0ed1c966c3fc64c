package stonespring.testbed;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import stonespring.http.HttpClient;
import stonespring.http.HttpMessage;
import stonespring.proxy.Proxy;

/**
 * The clients of one proxy: requests come by chance and do not wait for answers. A client asks
 * again by itself after a failure, where the request may run again, or where the answer says that
 * it certainly did not run; all attempts count with the first. It gives up at the request timeout.
 */
final class ClientStandIn {
  /** One request class as clients know it. */
  record RequestMix(String requestClass, double share, boolean retryable, double timeoutMillis) {}

  private static final double MAX_TICK_MILLIS = 5; // ms
  private static final int MAX_RETRIES = 2;
  private static final long RETRY_DELAY_MILLIS = 300; // ms
  private static final int CONNECTIONS = 64;

  private final EventLoop loop;
  private final Evidence evidence;
  private final List<RequestMix> types;
  private final String proxy;
  private final int port;
  private final SplittableRandom random;
  private final HttpClient client;
  private final AtomicInteger open;
  private volatile double requestsPerSecond;
  private volatile double patience = 1;
  private boolean stopped;
  private long count;

  ClientStandIn(
      EventLoop loop,
      Evidence evidence,
      List<RequestMix> types,
      String proxy,
      int port,
      double requestsPerSecond,
      long seed,
      AtomicInteger open) {
    this.loop = loop;
    this.evidence = evidence;
    this.types = types;
    this.proxy = proxy;
    this.port = port;
    this.requestsPerSecond = requestsPerSecond;
    this.random = new SplittableRandom(seed);
    this.client = new HttpClient(loop, 500, 64 << 10, CONNECTIONS);
    this.open = open;
  }

  void start() {
    loop.execute(() -> arrive(evidence.now() + gap()));
  }

  void rate(double requests) {
    requestsPerSecond = requests;
  }

  /** The part of the request timeout after which clients give up. */
  void patience(double part) {
    patience = part;
  }

  void stop() {
    loop.execute(() -> stopped = true);
  }

  private double gap() {
    return -Math.log(1 - random.nextDouble()) * 1000 / Math.max(0.001, requestsPerSecond);
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
        (long) Math.max(1, Math.min(MAX_TICK_MILLIS, at - evidence.now())),
        TimeUnit.MILLISECONDS);
  }

  private void ask() {
    double draw = random.nextDouble();
    RequestMix type = types.get(types.size() - 1);
    for (RequestMix some : types) {
      draw -= some.share();
      if (draw < 0) {
        type = some;
        break;
      }
    }
    open.incrementAndGet();
    attempt(type, proxy + "-" + ++count, evidence.now(), 0);
  }

  private void attempt(RequestMix type, String op, double askedAt, int again) {
    double left = askedAt + type.timeoutMillis() * patience - evidence.now();
    HttpMessage request =
        new HttpMessage(
                "POST", "/op/" + type.requestClass(), new java.util.LinkedHashMap<>(), new byte[0])
            .with("host", "127.0.0.1:" + port)
            .with("x-op", op)
            .with("x-op-timeout-ms", String.valueOf((long) Math.max(1, left)))
            .with("content-length", "0");
    client.call(
        new InetSocketAddress("127.0.0.1", port),
        request,
        (long) Math.max(1, left),
        (answer, failure) -> {
          boolean good = answer != null && answer.status() == 200;
          boolean notExecuted =
              answer != null
                  ? answer.header(Proxy.NOT_RUN).equals("1")
                  : failure == HttpClient.Failure.UNREACHED;
          double rest = askedAt + type.timeoutMillis() * patience - evidence.now();
          if (!good
              && again < MAX_RETRIES
              && rest > RETRY_DELAY_MILLIS + 50
              && (type.retryable() || notExecuted)) {
            loop.schedule(
                () -> attempt(type, op, askedAt, again + 1),
                RETRY_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
            return;
          }
          open.decrementAndGet();
          evidence.add(
              new Evidence.Outcome(
                  askedAt,
                  proxy,
                  op,
                  type.requestClass(),
                  answer == null ? 0 : answer.status(),
                  answer == null ? String.valueOf(failure) : answer.header("x-reason"),
                  notExecuted,
                  evidence.now() - askedAt,
                  evidence.now()));
        });
  }
}
