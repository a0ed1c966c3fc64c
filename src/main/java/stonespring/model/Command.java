package stonespring.model;

/**
 * What a {@link DecisionEngine} wants carried out, in the order given. Durations are in {@link
 * DeciMillis}; no component is null. Commands are immutable.
 *
 * <p>A request class mask is the sum of 2^k over the positions k of the classes meant; 0 stands for
 * all classes.
 */
public sealed interface Command {
  /** Stands for the tables of every connected proxy; only {@link LimitAdmission} takes it. */
  RouteTableId ALL_TABLES = new RouteTableId(65535);

  /** Fire a timer after the delay; it cannot be cancelled. */
  record StartTimer(long delay, TimerToken token) implements Command {}

  /** Fetch the whole endpoint list once. The present engine watches the list and never sends it. */
  record FetchEndpoints() implements Command {}

  /** Start or end the watch on the endpoint list. */
  record WatchEndpoints(boolean enabled) implements Command {}

  /** Set one route of a table; the others stay. A weight of 0 removes the route. */
  record SetRoute(RouteTableId table, EndpointId endpoint, double weight) implements Command {}

  /** Remove all routes and admission limits of a table. The present engine never sends it. */
  record ClearRouteTable(RouteTableId table) implements Command {}

  /** Have a proxy use a table, and follow its changes, for the classes of the mask. */
  record AssignRouteTable(RouteTableId table, ProxyId proxy, int requestClassMask)
      implements Command {}

  /** Stop connected proxies from using an endpoint whatever their tables say, or allow it again. */
  record ExcludeEndpoint(EndpointId endpoint, boolean excluded) implements Command {}

  /**
   * Limit what proxies admit of the masked classes, and when they retry.
   *
   * @param limit a fraction from 0 to 1, or requests per second at each proxy, as the settings'
   *     {@link AdmissionLimitKind} has it
   */
  record LimitAdmission(
      RouteTableId table, int requestClassMask, RetryPolicy retryPolicy, double limit)
      implements Command {}

  /**
   * Have each proxy that this batch reaches acknowledge it.
   *
   * @param everyProxy whether proxies that it does not reach are sent a message too; always false
   *     from the present engine
   */
  record RequestAck(AckId ack, boolean everyProxy) implements Command {}

  /** Check an endpoint's health from this instance. The present engine never sends it. */
  record HealthCheck(EndpointId endpoint) implements Command {}

  /** Send bytes to another instance, or to all. The present engine never sends it. */
  record SendToPeer(PeerId peer, byte[] bytes) implements Command {}

  /** Log one line. */
  record Log(String text) implements Command {}
}
