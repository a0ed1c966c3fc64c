package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import stonespring.model.DeciMillis;
import stonespring.model.EndpointRecord;
import stonespring.model.RetryPolicy;
import stonespring.model.RetrySafety;

/** What must hold after every step, as far as commands alone show it. */
final class FleetInvariants {
  /** Messages after which updates for what left may wait for each other. */
  private static final int MESSAGES_BEFORE_BATCHING = 8;

  /** DeciMillis for which they may wait. */
  private static final long BATCHING_GRACE_DECI_MILLIS = 3 * DeciMillis.SECOND / 2;

  private FleetInvariants() {}

  /** Fails the test if one does not hold. */
  static void check(Fleet fleet, String when) {
    boolean warm = fleet.endpoints.values().stream().anyMatch(e -> isWarm(fleet, e));
    for (FleetProxy proxy : fleet.proxies.values()) {
      if (proxy.connected) {
        checkHasRoute(fleet, proxy, warm, when);
        checkRoutesOnlyToUsableEndpoints(fleet, proxy, when);
        checkMessages(fleet, proxy, when);
      }
    }
    assertTrue(
        fleet.backlog <= fleet.settings.channel().maxBacklogEntries(),
        when + ": " + fleet.backlog + " entries wait at a third of the pace");
    checkRetries(fleet, when);
  }

  private static boolean isWarm(Fleet fleet, EndpointRecord endpoint) {
    return endpoint.state() == EndpointRecord.State.READY
        && fleet.now - endpoint.startedAt() >= fleet.settings.slowStart().window();
  }

  private static void checkHasRoute(Fleet fleet, FleetProxy proxy, boolean warm, String when) {
    boolean empty = proxy.table != null && proxy.shares().isEmpty();
    if (!empty || !warm) {
      proxy.emptySince = -1;
    } else if (proxy.emptySince < 0) {
      proxy.emptySince = fleet.now;
    }
    long limit = fleet.settings.routing().maxTimeWithoutEndpoint();
    assertTrue(
        proxy.emptySince < 0 || fleet.now - proxy.emptySince <= limit,
        when + ": a proxy has no route");
  }

  private static void checkRoutesOnlyToUsableEndpoints(Fleet fleet, FleetProxy proxy, String when) {
    boolean keepServing = fleet.settings.endpointList().removedEndpointsKeepServing();
    for (String name : proxy.shares().keySet()) {
      EndpointRecord endpoint = fleet.endpoints.get(name);
      boolean usable =
          endpoint == null ? keepServing : endpoint.state() == EndpointRecord.State.READY;
      assertTrue(
          usable
              || proxy.messagesSentAt.size() >= MESSAGES_BEFORE_BATCHING
                  && fleet.now - fleet.outOfServiceAt.get(name) <= BATCHING_GRACE_DECI_MILLIS,
          when + ": a route names " + name + ", which left");
    }
  }

  private static void checkMessages(Fleet fleet, FleetProxy proxy, String when) {
    long window = fleet.settings.channel().messageWindow();
    int limit = fleet.settings.channel().maxMessagesPerProxy();
    while (!proxy.messagesSentAt.isEmpty() && fleet.now - proxy.messagesSentAt.peek() > window) {
      proxy.messagesSentAt.poll();
    }
    assertTrue(
        limit == 0 || proxy.messagesSentAt.size() <= limit,
        when + ": too many messages to one proxy");
  }

  private static void checkRetries(Fleet fleet, String when) {
    for (int k = 0; k < fleet.settings.requestClasses().size(); k++) {
      RetryPolicy policy = fleet.retryPolicies.getOrDefault(k, RetryPolicy.NEVER);
      assertTrue(
          fleet.settings.requestClasses().get(k).retrySafety() == RetrySafety.IDEMPOTENT
              || policy == RetryPolicy.NEVER
              || policy == RetryPolicy.IF_NOT_EXECUTED,
          when + ": a request may take effect twice");
    }
  }
}
