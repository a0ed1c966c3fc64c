package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import stonespring.model.DeciMillis;
import stonespring.model.EndpointRecord;
import stonespring.model.RetryPolicy;
import stonespring.model.RetrySafety;

/** Checks invariants after a step, as far as the engine's commands determine them. */
final class FleetInvariants {
  /**
   * Number of messages to a proxy in the message window from which on updates for unavailable
   * endpoints may be batched.
   */
  private static final int MESSAGES_BEFORE_BATCHING = 8;

  /** Maximum time for which updates for unavailable endpoints may wait for a batch. */
  private static final long BATCHING_GRACE_DECI_MILLIS = 3 * DeciMillis.SECOND / 2;

  private FleetInvariants() {}

  /**
   * Fails the test if an invariant is violated.
   *
   * @param when the point of the test, for the failure message
   */
  static void check(Fleet fleet, String when) {
    boolean warmEndpointListed = fleet.endpoints.values().stream().anyMatch(e -> isWarm(fleet, e));
    for (FleetProxy proxy : fleet.proxies.values()) {
      if (proxy.connected) {
        checkHasRoute(fleet, proxy, warmEndpointListed, when);
        checkRoutesOnlyToUsableEndpoints(fleet, proxy, when);
        checkMessages(fleet, proxy, when);
      }
    }
    assertTrue(
        fleet.backlog <= fleet.settings.channel().maxBacklogEntries(),
        when
            + ": expected a backlog of at most "
            + fleet.settings.channel().maxBacklogEntries()
            + " entries, found "
            + fleet.backlog);
    checkRetries(fleet, when);
  }

  private static boolean isWarm(Fleet fleet, EndpointRecord endpoint) {
    return endpoint.state() == EndpointRecord.State.READY
        && fleet.now - endpoint.startedAt() >= fleet.settings.slowStart().window();
  }

  private static void checkHasRoute(
      Fleet fleet, FleetProxy proxy, boolean warmEndpointListed, String when) {
    boolean hasNoRoute = proxy.usableEndpoints().isEmpty();
    if (!hasNoRoute || !warmEndpointListed) {
      proxy.withoutRouteSince = -1;
    } else if (proxy.withoutRouteSince < 0) {
      proxy.withoutRouteSince = fleet.now;
    }
    long limit = fleet.settings.routing().maxTimeWithoutEndpoint();
    assertTrue(
        proxy.withoutRouteSince < 0 || fleet.now - proxy.withoutRouteSince <= limit,
        when
            + ": proxy "
            + proxy.number
            + " has had no route for longer than "
            + limit
            + " deci-milliseconds");
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
          when + ": proxy " + proxy.number + " has a route to " + name + ", which is unavailable");
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
        when
            + ": expected at most "
            + limit
            + " messages to proxy "
            + proxy.number
            + " in the window, found "
            + proxy.messagesSentAt.size());
  }

  private static void checkRetries(Fleet fleet, String when) {
    for (int k = 0; k < fleet.settings.requestClasses().size(); k++) {
      RetryPolicy policy = fleet.retryPolicies.getOrDefault(k, RetryPolicy.NEVER);
      assertTrue(
          fleet.settings.requestClasses().get(k).retrySafety() == RetrySafety.IDEMPOTENT
              || policy == RetryPolicy.NEVER
              || policy == RetryPolicy.IF_NOT_EXECUTED,
          when + ": request class " + k + " is not idempotent, but its retry policy is " + policy);
    }
  }
}
