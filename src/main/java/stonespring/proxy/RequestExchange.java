package stonespring.proxy;

import stonespring.http.HttpCallFailure;
import stonespring.http.HttpCallResult;
import stonespring.http.HttpRequest;
import stonespring.http.HttpResponse;
import stonespring.http.HttpServer;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.proxy.routing.RequestOutcome;
import stonespring.proxy.routing.RequestProgress;

/**
 * The handling of one request: it is admitted or rejected, sent to an endpoint, retried where the
 * retry policy allows it, and answered exactly once. Instants are in deci-milliseconds since the
 * proxy was created. Confined to the proxy's event loop.
 */
final class RequestExchange {
  private static final int DECI_MILLIS_PER_MILLI = 10;
  private static final String REASON_TIMEOUT = "timeout";
  private static final String REASON_FULL = "full";
  private static final String REASON_LIMIT = "level";
  private static final String REASON_NO_ENDPOINT = "no-task";
  private static final String REASON_FAILED = "failed";
  private static final String RETRY_AFTER_SECONDS = "1";

  private final Proxy proxy;
  private final RequestClassId requestClass;
  private final HttpRequest request;
  private final HttpServer.Exchange exchange;
  private final long deadline;
  private int attempts;
  private boolean provenNotExecuted = true;
  private long firstAttemptAt;

  RequestExchange(
      Proxy proxy, RequestClassId requestClass, HttpRequest request, HttpServer.Exchange exchange) {
    this.proxy = proxy;
    this.requestClass = requestClass;
    this.request = request;
    this.exchange = exchange;
    this.deadline = proxy.now() + timeoutMillis() * DECI_MILLIS_PER_MILLI;
  }

  /** The request class's timeout, or the client's if that is shorter. */
  private long timeoutMillis() {
    long classTimeoutMillis = proxy.settings().requestTimeoutsMillis().get(requestClass.index());
    String requestedTimeout = request.header(ProxyHeaders.TIMEOUT_MILLIS);
    return requestedTimeout.matches("[0-9]{1,7}")
        ? Math.min(classTimeoutMillis, Long.parseLong(requestedTimeout))
        : classTimeoutMillis;
  }

  /** Admits the request and sends it, or rejects it; drops it if its client has left. */
  void start() {
    if (isAbandoned()) {
      return;
    }
    proxy.statistics().recordRequest(requestClass);
    if (proxy.now() >= deadline) {
      // The request waited in the proxy for longer than its timeout.
      exchange.respond(rejectionResponse(504, REASON_TIMEOUT));
    } else if (proxy.isFull()) {
      exchange.respond(rejectionResponse(503, REASON_FULL));
    } else if (!proxy.router().admit(requestClass, proxy.now())) {
      exchange.respond(rejectionResponse(429, REASON_LIMIT));
    } else {
      proxy.incrementInFlight();
      sendAttempt(null);
    }
  }

  /** Rejects the request because too many are waiting. It has not been sent to any endpoint. */
  void rejectAsFull() {
    exchange.respond(rejectionAsFull());
  }

  /** Returns the answer to a request that is rejected because too many are waiting. */
  static HttpResponse rejectionAsFull() {
    return rejectionResponse(503, REASON_FULL);
  }

  /** Returns whether the client has closed its connection, so that nobody awaits the answer. */
  private boolean isAbandoned() {
    return !exchange.channel().isActive();
  }

  private void sendAttempt(EndpointId avoidedEndpoint) {
    if (isAbandoned()) {
      completeRequest(failureResponse(503, REASON_FAILED));
      return;
    }
    EndpointId endpoint =
        proxy.router().pick(requestClass, avoidedEndpoint, proxy.now()).orElse(null);
    if (endpoint == null) {
      completeRequest(
          avoidedEndpoint == null
              ? rejectionResponse(503, REASON_NO_ENDPOINT)
              : failureResponse(503, REASON_FAILED));
      return;
    }
    long sentAt = proxy.now();
    attempts++;
    firstAttemptAt = provenNotExecuted ? sentAt : firstAttemptAt;
    long remainingMillis = Math.max(1, (deadline - sentAt) / DECI_MILLIS_PER_MILLI);
    HttpRequest attempt =
        HttpRequest.post(ProxySettings.address(endpoint), request.target(), request.body())
            .setHeader(ProxyHeaders.REQUEST_ID, request.header(ProxyHeaders.REQUEST_ID))
            .setHeader(ProxyHeaders.PROXY, proxy.settings().name())
            .setHeader(ProxyHeaders.ZONE, proxy.settings().zone())
            .setHeader(ProxyHeaders.ATTEMPT, String.valueOf(attempts))
            .setHeader(ProxyHeaders.TIMEOUT_MILLIS, String.valueOf(remainingMillis));
    proxy.call(
        endpoint, attempt, remainingMillis, result -> handleResult(endpoint, sentAt, result));
  }

  private void handleResult(EndpointId endpoint, long sentAt, HttpCallResult result) {
    long now = proxy.now();
    HttpResponse response =
        result instanceof HttpCallResult.Completed completed ? completed.response() : null;
    RequestOutcome outcome = outcome(result);
    boolean succeeded = outcome == RequestOutcome.SUCCEEDED;
    proxy.router().recordAttemptEnd(endpoint, succeeded, now);
    proxy
        .statistics()
        .recordAttempt(
            endpoint,
            succeeded,
            now - sentAt,
            response == null
                ? null
                : LoadReportHeader.read(response.header(LoadReportHeader.NAME)));
    if (succeeded) {
      completeRequest(HttpResponse.of(200, response.text()));
      return;
    }
    provenNotExecuted &= outcome.provesNotExecuted();
    retryOrFail(endpoint, outcome, now);
  }

  private void retryOrFail(EndpointId endpoint, RequestOutcome outcome, long now) {
    RequestProgress progress =
        new RequestProgress(attempts, provenNotExecuted, firstAttemptAt, deadline);
    if (proxy.router().mayRetry(requestClass, progress, now)) {
      sendAttempt(endpoint);
    } else if (outcome == RequestOutcome.TIMED_OUT) {
      completeRequest(failureResponse(504, REASON_TIMEOUT));
    } else {
      completeRequest(failureResponse(503, REASON_FAILED));
    }
  }

  private static RequestOutcome outcome(HttpCallResult result) {
    if (result instanceof HttpCallResult.Completed completed) {
      HttpResponse response = completed.response();
      boolean saysNotExecuted =
          response.header(ProxyHeaders.NOT_EXECUTED).equals(ProxyHeaders.FLAG_SET);
      return RequestOutcome.ofAnswer(response.status(), saysNotExecuted);
    }
    return outcome(((HttpCallResult.Failed) result).failure());
  }

  /** Maps the failure of a call without an answer to its outcome. */
  static RequestOutcome outcome(HttpCallFailure failure) {
    return switch (failure) {
      case CONNECT_FAILED -> RequestOutcome.NOT_CONNECTED;
      case CONNECTION_LOST -> RequestOutcome.CONNECTION_BROKEN;
      case TIMED_OUT -> RequestOutcome.TIMED_OUT;
      case MALFORMED_RESPONSE -> RequestOutcome.MALFORMED_ANSWER;
    };
  }

  /** An error answer that guarantees that the request was not executed. */
  private static HttpResponse rejectionResponse(int status, String reason) {
    return HttpResponse.of(status, reason + "\n")
        .setHeader(ProxyHeaders.RETRY_AFTER, RETRY_AFTER_SECONDS)
        .setHeader(ProxyHeaders.NOT_EXECUTED, ProxyHeaders.FLAG_SET)
        .setHeader(ProxyHeaders.REASON, reason);
  }

  private HttpResponse failureResponse(int status, String reason) {
    if (provenNotExecuted) {
      return rejectionResponse(status, reason);
    }
    return HttpResponse.of(status, reason + "\n")
        .setHeader(ProxyHeaders.RETRY_AFTER, RETRY_AFTER_SECONDS)
        .setHeader(ProxyHeaders.REASON, reason);
  }

  private void completeRequest(HttpResponse response) {
    proxy.decrementInFlight();
    if (response.status() != 200) {
      proxy.statistics().recordUnansweredRequest(requestClass);
    }
    exchange.respond(response);
  }
}
