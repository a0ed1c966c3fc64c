package stonespring.testbed.virtual;

import stonespring.model.EndpointId;
import stonespring.model.RequestClass;
import stonespring.model.RequestClassId;
import stonespring.model.RetrySafety;
import stonespring.proxy.routing.RequestProgress;
import stonespring.recording.Recording;

/**
 * A client's request through a proxy: admission, attempts, retries by the proxy, and retries by the
 * client. Times are in {@link stonespring.model.DeciMillis}.
 */
final class VirtualRequest {
  /** One-way latency between a proxy and an endpoint of the same zone. */
  private static final long SAME_ZONE_LATENCY_DECI_MILLIS = 3;

  /** One-way latency between a proxy and an endpoint of another zone. */
  private static final long CROSS_ZONE_LATENCY_DECI_MILLIS = 13;

  /** One-way trips until a request on a new connection arrives, two of them for the handshake. */
  private static final int ONE_WAY_TRIPS_TO_CONNECT = 3;

  /** Maximum number of retries by the client after unsuccessful answers of the proxy. */
  private static final int MAX_CLIENT_RETRIES = 2;

  /** Delay before a retry by the client. */
  private static final long CLIENT_RETRY_DELAY_DECI_MILLIS = 3_000;

  /** Minimum time left until the deadline when a client's retry is sent. */
  private static final long MIN_TIME_LEFT_FOR_CLIENT_RETRY_DECI_MILLIS = 500;

  private final VirtualFleet fleet;
  private final VirtualProxy proxy;
  private final EventQueue events;
  private final RequestClassId requestClass;
  private final RequestClass classSettings;
  private final Recording.RequestClassInfo recordedClass;
  private final long startedAt;
  private final long deadline;
  private int clientRetries;

  /**
   * Incremented for each attempt, at each client retry and on completion. Actions scheduled with an
   * older value have no effect.
   */
  private int stateVersion;

  private int attempts;

  /** Whether all attempts since the request last arrived at the proxy were proven unexecuted. */
  private boolean provenNotExecuted;

  /** When the first attempt was sent that may have been executed. */
  private long firstAttemptAt;

  /** The endpoint of the pending attempt; null while none is pending. */
  private EndpointId pendingEndpoint;

  private long pendingSince;
  private boolean completed;

  private VirtualRequest(VirtualFleet fleet, VirtualProxy proxy, RequestClassId requestClass) {
    this.fleet = fleet;
    this.proxy = proxy;
    this.events = fleet.events();
    this.requestClass = requestClass;
    this.classSettings = fleet.settings().requestClasses().get(requestClass.index());
    this.recordedClass = fleet.recordedClass(requestClass);
    this.startedAt = events.now();
    this.deadline = startedAt + recordedClass.timeout();
  }

  /** Sends a request; retries by the client count as part of the same request. */
  static void send(VirtualFleet fleet, VirtualProxy proxy, RequestClassId requestClass) {
    VirtualRequest request = new VirtualRequest(fleet, proxy, requestClass);
    fleet
        .statistics()
        .recordRequestStart(request.startedAt, request.classSettings.priorityWeight());
    request.events.scheduleAt(request.deadline, request::timeOut);
    request.arriveAtProxy();
  }

  private void arriveAtProxy() {
    proxy.statistics().recordRequest(requestClass);
    attempts = 0;
    provenNotExecuted = true;
    if (proxy.router().admit(requestClass, events.now())) {
      sendAttempt(null);
    } else {
      handleUnsuccessfulAnswer(true);
    }
  }

  /**
   * Picks an endpoint and sends an attempt to it.
   *
   * @param previous the endpoint of the previous attempt, which the router avoids; null for the
   *     first attempt
   */
  private void sendAttempt(EndpointId previous) {
    long now = events.now();
    EndpointId endpoint = proxy.router().pick(requestClass, previous, now).orElse(null);
    if (endpoint == null) {
      handleUnsuccessfulAnswer(false);
      return;
    }
    stateVersion++;
    attempts++;
    if (provenNotExecuted) {
      firstAttemptAt = now;
    }
    pendingEndpoint = endpoint;
    pendingSince = now;
    transmit(endpoint);
  }

  private void transmit(EndpointId id) {
    VirtualEndpoint endpoint = fleet.endpoint(id).orElse(null);
    boolean crossesZones = endpoint != null && endpoint.zone() != proxy.zone();
    boolean opensConnection = proxy.connections().use(id, events.now());
    fleet.statistics().recordAttempt(crossesZones, opensConnection);
    long latency = crossesZones ? CROSS_ZONE_LATENCY_DECI_MILLIS : SAME_ZONE_LATENCY_DECI_MILLIS;
    int attemptVersion = stateVersion;
    if (endpoint == null || !endpoint.isRunning()) {
      proxy.connections().close(id);
      events.scheduleAfter(
          2 * latency, () -> handleAttemptEnd(attemptVersion, AttemptResult.CONNECTION_REFUSED));
      return;
    }
    events.scheduleAfter(
        opensConnection ? ONE_WAY_TRIPS_TO_CONNECT * latency : latency,
        () ->
            endpoint.receive(
                recordedClass.serviceTime(),
                deadline,
                opensConnection,
                result ->
                    events.scheduleAfter(latency, () -> handleAttemptEnd(attemptVersion, result))));
  }

  private void handleAttemptEnd(int attemptVersion, AttemptResult result) {
    if (attemptVersion != stateVersion) {
      return;
    }
    long now = events.now();
    EndpointId endpoint = pendingEndpoint;
    pendingEndpoint = null;
    proxy.router().recordAttemptEnd(endpoint, result.succeeded(), now);
    proxy
        .statistics()
        .recordAttempt(endpoint, result.succeeded(), now - pendingSince, result.load());
    if (result.succeeded()) {
      complete(RequestResult.SUCCEEDED);
      return;
    }
    provenNotExecuted &= !result.executed();
    RequestProgress progress =
        new RequestProgress(attempts, provenNotExecuted, firstAttemptAt, deadline);
    if (proxy.router().mayRetry(requestClass, progress, now)) {
      sendAttempt(endpoint);
    } else {
      handleUnsuccessfulAnswer(false);
    }
  }

  /**
   * Schedules a retry by the client if that is safe and can be in time; otherwise completes the
   * request.
   *
   * @param rejected whether admission control rejected the request
   */
  private void handleUnsuccessfulAnswer(boolean rejected) {
    if (!rejected) {
      proxy.statistics().recordUnansweredRequest(requestClass);
    }
    if (!clientMayRetry()) {
      complete(rejected ? RequestResult.REJECTED : RequestResult.FAILED);
      return;
    }
    clientRetries++;
    stateVersion++;
    int retryVersion = stateVersion;
    events.scheduleAfter(
        CLIENT_RETRY_DELAY_DECI_MILLIS,
        () -> {
          if (retryVersion == stateVersion) {
            arriveAtProxy();
          }
        });
  }

  private boolean clientMayRetry() {
    boolean safe = classSettings.retrySafety() == RetrySafety.IDEMPOTENT || provenNotExecuted;
    return safe
        && clientRetries < MAX_CLIENT_RETRIES
        && deadline - events.now()
            > CLIENT_RETRY_DELAY_DECI_MILLIS + MIN_TIME_LEFT_FOR_CLIENT_RETRY_DECI_MILLIS;
  }

  /** Completes the request at its deadline; a pending attempt counts as failed. */
  private void timeOut() {
    complete(RequestResult.TIMED_OUT);
  }

  private void complete(RequestResult result) {
    if (completed) {
      return;
    }
    completed = true;
    stateVersion++;
    long now = events.now();
    if (pendingEndpoint != null) {
      proxy.router().recordAttemptEnd(pendingEndpoint, false, now);
      proxy.statistics().recordAttempt(pendingEndpoint, false, now - pendingSince, null);
      proxy.statistics().recordUnansweredRequest(requestClass);
    }
    boolean inTime =
        result == RequestResult.SUCCEEDED && now - startedAt <= classSettings.latencyObjective();
    fleet
        .statistics()
        .recordRequestEnd(startedAt, inTime ? classSettings.priorityWeight() : 0, result);
  }
}
