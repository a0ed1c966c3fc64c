package stonespring.testbed.virtual;

import stonespring.model.EndpointId;
import stonespring.model.RequestClass;
import stonespring.model.RequestClassId;
import stonespring.model.RetrySafety;
import stonespring.proxy.routing.RequestProgress;
import stonespring.recording.Recording;

/**
 * A client's request on its way through a proxy: admission, attempts, the proxy's retries and the
 * client's own. Times are in {@link stonespring.model.DeciMillis}.
 */
final class VirtualRequest {
  /** One way between a proxy and an endpoint of its zone, deci-milliseconds. */
  private static final long SAME_ZONE_LATENCY = 3;

  /** One way between a proxy and an endpoint of another zone, deci-milliseconds. */
  private static final long CROSS_ZONE_LATENCY = 13;

  /** One-way latencies until a request on a new connection arrives. */
  private static final int LATENCIES_TO_CONNECT = 3;

  /** How often a client sends a request again after the proxy gave up. */
  private static final int MAX_CLIENT_RETRIES = 2;

  /** Time that a client waits before it sends a request again, deci-milliseconds. */
  private static final long CLIENT_RETRY_DELAY = 3_000;

  /** Time that must be left when the client's retry is sent, deci-milliseconds. */
  private static final long MIN_TIME_FOR_CLIENT_RETRY = 500;

  private final VirtualFleet fleet;
  private final VirtualProxy proxy;
  private final EventQueue events;
  private final RequestClassId requestClass;
  private final RequestClass classSettings;
  private final Recording.RequestClassInfo recordedClass;
  private final long startedAt;
  private final long deadline;
  private int clientRetries;

  /** Grows when the request moves on; what was scheduled before then has no effect. */
  private int generation;

  private int attempts;
  private boolean provenNotExecuted;
  private long firstAttemptAt;

  /** The endpoint of the pending attempt; null while none is pending. */
  private EndpointId pendingEndpoint;

  private long pendingSince;
  private boolean ended;

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

  /** Sends a request; client retries count as part of it. */
  static void send(VirtualFleet fleet, VirtualProxy proxy, RequestClassId requestClass) {
    VirtualRequest request = new VirtualRequest(fleet, proxy, requestClass);
    fleet.statistics().requestStarted(request.startedAt, request.classSettings.priorityWeight());
    request.events.scheduleAt(request.deadline, request::timeOut);
    request.arrive();
  }

  private void arrive() {
    proxy.statistics().recordRequest(requestClass);
    attempts = 0;
    provenNotExecuted = true;
    if (proxy.router().admit(requestClass, events.now())) {
      attempt(null);
    } else {
      proxyGaveUp(true);
    }
  }

  /** Sends an attempt to an endpoint other than {@code previous}, which is null for the first. */
  private void attempt(EndpointId previous) {
    long now = events.now();
    EndpointId endpoint = proxy.router().pick(requestClass, previous, now).orElse(null);
    if (endpoint == null) {
      proxyGaveUp(false);
      return;
    }
    generation++;
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
    fleet.statistics().attemptSent(crossesZones, opensConnection);
    long latency = crossesZones ? CROSS_ZONE_LATENCY : SAME_ZONE_LATENCY;
    int attemptGeneration = generation;
    if (endpoint == null || !endpoint.isRunning()) {
      proxy.connections().close(id);
      events.scheduleAfter(
          2 * latency, () -> attemptEnded(attemptGeneration, AttemptResult.CONNECTION_REFUSED));
      return;
    }
    events.scheduleAfter(
        opensConnection ? LATENCIES_TO_CONNECT * latency : latency,
        () ->
            endpoint.receive(
                recordedClass.serviceTime(),
                deadline,
                opensConnection,
                result ->
                    events.scheduleAfter(latency, () -> attemptEnded(attemptGeneration, result))));
  }

  private void attemptEnded(int attemptGeneration, AttemptResult result) {
    if (attemptGeneration != generation) {
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
      end(RequestResult.SUCCEEDED);
      return;
    }
    provenNotExecuted &= !result.executed();
    RequestProgress progress =
        new RequestProgress(attempts, provenNotExecuted, firstAttemptAt, deadline);
    if (proxy.router().mayRetry(requestClass, progress, now)) {
      attempt(endpoint);
    } else {
      proxyGaveUp(false);
    }
  }

  /**
   * The proxy answered without success, so the client retries where that is safe and in time.
   *
   * @param rejected whether admission control rejected the request
   */
  private void proxyGaveUp(boolean rejected) {
    if (!rejected) {
      proxy.statistics().recordUnansweredRequest(requestClass);
    }
    if (!clientMayRetry()) {
      end(rejected ? RequestResult.REJECTED : RequestResult.FAILED);
      return;
    }
    clientRetries++;
    generation++;
    int retryGeneration = generation;
    events.scheduleAfter(
        CLIENT_RETRY_DELAY,
        () -> {
          if (retryGeneration == generation) {
            arrive();
          }
        });
  }

  private boolean clientMayRetry() {
    boolean safe = classSettings.retrySafety() == RetrySafety.IDEMPOTENT || provenNotExecuted;
    return safe
        && clientRetries < MAX_CLIENT_RETRIES
        && deadline - events.now() > CLIENT_RETRY_DELAY + MIN_TIME_FOR_CLIENT_RETRY;
  }

  /** The client stops waiting; a pending attempt counts as failed. */
  private void timeOut() {
    end(RequestResult.TIMED_OUT);
  }

  private void end(RequestResult result) {
    if (ended) {
      return;
    }
    ended = true;
    generation++;
    long now = events.now();
    if (pendingEndpoint != null) {
      proxy.router().recordAttemptEnd(pendingEndpoint, false, now);
      proxy.statistics().recordAttempt(pendingEndpoint, false, now - pendingSince, null);
      proxy.statistics().recordUnansweredRequest(requestClass);
    }
    boolean inTime =
        result == RequestResult.SUCCEEDED && now - startedAt <= classSettings.latencyObjective();
    fleet.statistics().requestEnded(startedAt, inTime ? classSettings.priorityWeight() : 0, result);
  }
}
