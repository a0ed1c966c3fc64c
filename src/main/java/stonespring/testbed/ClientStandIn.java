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
 * The clients of one proxy. Requests start as a Poisson process, independently of the responses to
 * earlier ones. A failed request is retried if it is idempotent or was certainly not executed; all
 * its attempts count as one request. A request is given up at its timeout. All requests run on one
 * event loop; {@link #start}, {@link #stop} and the setters may be called from any thread.
 */
final class ClientStandIn {
  /**
   * One request class of the mix that clients send.
   *
   * @param share the class's fraction of all requests, 0 to 1
   * @param idempotent whether clients retry a request that may have been executed
   * @param timeoutMillis the time from the first attempt after which a request is given up
   */
  record RequestMixEntry(
      String requestClass, double share, boolean idempotent, double timeoutMillis) {}

  private record ClientRequest(RequestMixEntry mix, String id, double startedAtMillis) {}

  /** The longest time between two checks for due requests. */
  private static final double MAX_TICK_MILLIS = 5;

  private static final int MAX_RETRIES = 2;
  private static final long RETRY_DELAY_MILLIS = 300;

  /** The time that must be left before the timeout when a retry is sent. */
  private static final long MIN_TIME_FOR_RETRY_MILLIS = 50;

  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int MAX_RESPONSE_BYTES = 64 << 10;
  private static final int MAX_CONNECTIONS = 64;

  private final EventLoop loop;
  private final Evidence evidence;
  private final List<RequestMixEntry> requestMix;
  private final String proxyName;
  private final InetSocketAddress proxyAddress;
  private final SplittableRandom random;
  private final HttpClient client;
  private final AtomicInteger openRequests;
  private volatile double requestsPerSecond;
  private volatile double timeoutFraction = 1;
  private boolean stopped;
  private long requestCount;

  /**
   * Creates clients that send nothing until {@link #start}.
   *
   * @param seed seed of the random numbers that arrivals and request classes are drawn from
   * @param openRequests shared by all clients; counts the requests that have not ended yet
   */
  ClientStandIn(
      EventLoop loop,
      Evidence evidence,
      List<RequestMixEntry> requestMix,
      ScenarioProxy proxy,
      long seed,
      AtomicInteger openRequests) {
    this.loop = loop;
    this.evidence = evidence;
    this.requestMix = requestMix;
    this.proxyName = proxy.name();
    this.proxyAddress = new InetSocketAddress("127.0.0.1", proxy.port());
    this.requestsPerSecond = proxy.requestsPerSecond();
    this.random = new SplittableRandom(seed);
    this.client = new HttpClient(loop, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, MAX_CONNECTIONS);
    this.openRequests = openRequests;
  }

  void start() {
    loop.execute(() -> sendDueRequests(evidence.now() + drawInterarrivalMillis()));
  }

  void setRequestsPerSecond(double newRequestsPerSecond) {
    requestsPerSecond = newRequestsPerSecond;
  }

  /**
   * Sets the fraction of the request timeout after which a request is given up; 1 without a fault.
   */
  void setTimeoutFraction(double fraction) {
    timeoutFraction = fraction;
  }

  /** Stops sending new requests; requests in progress run to their end. */
  void stop() {
    loop.execute(() -> stopped = true);
  }

  /** Draws the time to the next request from an exponential distribution. */
  private double drawInterarrivalMillis() {
    return -Math.log(1 - random.nextDouble()) * 1000 / Math.max(0.001, requestsPerSecond);
  }

  /** Sends the requests that are due and schedules the next check. */
  private void sendDueRequests(double firstDueAtMillis) {
    if (stopped) {
      return;
    }
    double dueAtMillis = firstDueAtMillis;
    while (dueAtMillis <= evidence.now()) {
      sendRequest();
      dueAtMillis += drawInterarrivalMillis();
    }
    double nextDueAtMillis = dueAtMillis;
    long delayMillis =
        (long) Math.max(1, Math.min(MAX_TICK_MILLIS, nextDueAtMillis - evidence.now()));
    loop.schedule(() -> sendDueRequests(nextDueAtMillis), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void sendRequest() {
    RequestMixEntry mix = drawMixEntry();
    openRequests.incrementAndGet();
    String id = proxyName + "-" + ++requestCount;
    sendAttempt(new ClientRequest(mix, id, evidence.now()), 0);
  }

  private RequestMixEntry drawMixEntry() {
    double remaining = random.nextDouble();
    for (RequestMixEntry mix : requestMix) {
      remaining -= mix.share();
      if (remaining < 0) {
        return mix;
      }
    }
    return requestMix.get(requestMix.size() - 1);
  }

  private double timeLeftMillis(ClientRequest request) {
    return request.startedAtMillis()
        + request.mix().timeoutMillis() * timeoutFraction
        - evidence.now();
  }

  private void sendAttempt(ClientRequest request, int retries) {
    long timeoutMillis = (long) Math.max(1, timeLeftMillis(request));
    HttpRequest httpRequest =
        HttpRequest.post(proxyAddress, "/op/" + request.mix().requestClass(), new byte[0])
            .setHeader("x-op", request.id())
            .setHeader("x-op-timeout-ms", String.valueOf(timeoutMillis))
            .setHeader("content-length", "0");
    client.call(
        proxyAddress,
        httpRequest,
        timeoutMillis,
        result -> completeAttempt(request, retries, result));
  }

  /** Schedules a retry, or ends the request and records its outcome. */
  private void completeAttempt(ClientRequest request, int retries, HttpCallResult result) {
    int status = 0;
    String reason = "";
    boolean notExecuted = false;
    if (result instanceof HttpCallResult.Completed completed) {
      HttpResponse response = completed.response();
      status = response.status();
      reason = response.header("x-reason");
      notExecuted = response.header(ProxyHeaders.NOT_EXECUTED).equals("1");
    } else if (result instanceof HttpCallResult.Failed failed) {
      reason = String.valueOf(failed.failure());
      notExecuted = failed.failure() == HttpCallFailure.CONNECT_FAILED;
    }
    boolean succeeded = status == 200;
    if (!succeeded
        && retries < MAX_RETRIES
        && timeLeftMillis(request) > RETRY_DELAY_MILLIS + MIN_TIME_FOR_RETRY_MILLIS
        && (request.mix().idempotent() || notExecuted)) {
      loop.schedule(
          () -> sendAttempt(request, retries + 1), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    openRequests.decrementAndGet();
    evidence.add(
        new Evidence.Outcome(
            request.startedAtMillis(),
            proxyName,
            request.id(),
            request.mix().requestClass(),
            status,
            reason,
            notExecuted,
            evidence.now() - request.startedAtMillis()));
  }
}
