package stonespring.testbed.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Checks what proxies may send against what the instance was notified of: no route to an endpoint
 * that drains or has left longer than the grace ago, and no proxy without a route while a ready
 * endpoint is listed. Confined to one thread.
 */
final class RouteChecker {
  /** Time by which limits are longer on sockets than in the settings. */
  private static final long SOCKET_ALLOWANCE_MILLIS = 300;

  /** Limits start no sooner than this after the first answer of a process. */
  private static final long START_ALLOWANCE_MILLIS = 1_000;

  /** Limits wait this long after a SIGHUP. */
  private static final long RELOAD_ALLOWANCE_MILLIS = 4_000;

  private final List<ProxyStandIn> proxies;
  private final List<String> requestClasses;
  private final NotifiedStates notifiedStates;
  private final SoakLog log;
  private final long drainGraceMillis;
  private final long emptyLimitMillis;

  /** Since when a proxy has no usable route to a ready endpoint, by proxy id. */
  private final Map<Integer, Long> emptySinceNanos = new HashMap<>();

  private volatile boolean active;
  private volatile long limitsStartNanos;

  RouteChecker(
      List<ProxyStandIn> proxies,
      List<String> requestClasses,
      NotifiedStates notifiedStates,
      SoakLog log,
      long drainGraceMillis,
      long emptyLimitMillis) {
    this.proxies = proxies;
    this.requestClasses = requestClasses;
    this.notifiedStates = notifiedStates;
    this.log = log;
    this.drainGraceMillis = drainGraceMillis;
    this.emptyLimitMillis = emptyLimitMillis;
  }

  /** A process gave its first answer: checks begin. */
  void begin() {
    limitsStartNanos = System.nanoTime() + nanos(START_ALLOWANCE_MILLIS);
    active = true;
  }

  /** A SIGHUP was sent: limits wait. */
  void reloadSent() {
    limitsStartNanos =
        Math.max(limitsStartNanos, System.nanoTime() + nanos(RELOAD_ALLOWANCE_MILLIS));
  }

  /** The process is ending: no checks until the next one answers. */
  void end() {
    active = false;
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Checks all proxies once. */
  void check() {
    Map<String, NotifiedStates.Notified> states = notifiedStates.byHost();
    for (ProxyStandIn proxy : proxies) {
      if (!active || !proxy.isFollowing()) {
        emptySinceNanos.remove(proxy.id());
        continue;
      }
      long startNanos = Math.max(limitsStartNanos, proxy.joinedAtNanos());
      for (String requestClass : requestClasses) {
        checkDrained(proxy, requestClass, states, startNanos);
      }
      checkEmpty(proxy, states, startNanos);
    }
  }

  private void checkDrained(
      ProxyStandIn proxy,
      String requestClass,
      Map<String, NotifiedStates.Notified> states,
      long startNanos) {
    long now = System.nanoTime();
    for (String host : proxy.tables().usableEndpoints(requestClass)) {
      NotifiedStates.Notified state = states.get(host);
      if (state == null || state.health() == EndpointRoster.Health.READY) {
        continue;
      }
      long since = Math.max(startNanos, state.sinceNanos());
      if (now - since > nanos(drainGraceMillis + SOCKET_ALLOWANCE_MILLIS)) {
        log.addViolation(
            "proxy "
                + proxy.id()
                + " has a route of class "
                + requestClass
                + " to "
                + host
                + ", which is "
                + state.health()
                + " for longer than the grace");
      }
    }
  }

  private void checkEmpty(
      ProxyStandIn proxy, Map<String, NotifiedStates.Notified> states, long startNanos) {
    boolean readyListed =
        states.values().stream().anyMatch(state -> state.health() == EndpointRoster.Health.READY);
    boolean hasRoute = requestClasses.stream().allMatch(name -> hasReadyRoute(proxy, name, states));
    if (hasRoute || !readyListed) {
      emptySinceNanos.remove(proxy.id());
      return;
    }
    long now = System.nanoTime();
    long since = emptySinceNanos.computeIfAbsent(proxy.id(), id -> now);
    if (now - Math.max(startNanos, since) > nanos(emptyLimitMillis + SOCKET_ALLOWANCE_MILLIS)) {
      log.addViolation("proxy " + proxy.id() + " has no route although a ready endpoint is listed");
      emptySinceNanos.put(proxy.id(), now);
    }
  }

  private static boolean hasReadyRoute(
      ProxyStandIn proxy, String requestClass, Map<String, NotifiedStates.Notified> states) {
    Set<String> usable = proxy.tables().usableEndpoints(requestClass);
    return usable.stream()
        .map(states::get)
        .anyMatch(state -> state != null && state.health() == EndpointRoster.Health.READY);
  }
}
