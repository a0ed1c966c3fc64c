package stonespring.model;

/**
 * A command of a {@link DecisionEngine}. The host executes the commands of a batch in the order
 * returned. Durations are in {@link DeciMillis}; no component is null. Commands are immutable.
 *
 * <p>A request class mask has bit k set for each selected class, where k is the class's position in
 * the settings; a mask of 0 selects all classes.
 */
public sealed interface Command {
  /** Denotes the tables of all connected proxies; valid only in {@link LimitAdmission}. */
  RouteTableId ALL_TABLES = new RouteTableId(65535);

  /** Starts a timer that fires once after the delay; it cannot be cancelled. */
  record StartTimer(long delay, TimerToken token) implements Command {}

  /**
   * Fetches the whole endpoint list once. The current engine watches the list instead and never
   * issues this command.
   */
  record FetchEndpoints() implements Command {}

  /** Starts watching the endpoint list for changes, or stops watching it. */
  record WatchEndpoints(boolean enabled) implements Command {}

  /**
   * Sets one route of a table and leaves its other routes as they are; weight 0 removes the route.
   */
  record SetRoute(RouteTableId table, EndpointId endpoint, double weight) implements Command {}

  /** Removes all routes and admission limits of a table. The current engine never issues it. */
  record ClearRouteTable(RouteTableId table) implements Command {}

  /**
   * Assigns a table to a proxy for the request classes of the mask. The proxy also receives later
   * changes of the table.
   */
  record AssignRouteTable(RouteTableId table, ProxyId proxy, int requestClassMask)
      implements Command {}

  /**
   * Excludes an endpoint from use by connected proxies even where their tables have a route to it,
   * or ends the exclusion.
   */
  record ExcludeEndpoint(EndpointId endpoint, boolean excluded) implements Command {}

  /**
   * Limits the requests of the masked classes that proxies admit, and sets their retry policy.
   *
   * @param table the table whose proxies are limited, or {@link #ALL_TABLES}
   * @param limit a fraction from 0 to 1, or requests per second at each proxy, depending on the
   *     {@link AdmissionLimitKind} in the settings
   */
  record LimitAdmission(
      RouteTableId table, int requestClassMask, RetryPolicy retryPolicy, double limit)
      implements Command {}

  /**
   * Requests an acknowledgement from each proxy that this batch of commands changes.
   *
   * @param everyProxy whether proxies that the batch does not change also receive a message and
   *     acknowledge it; the current engine always passes false
   */
  record RequestAck(AckId ack, boolean everyProxy) implements Command {}

  /** Checks an endpoint's health from this instance. The current engine never issues it. */
  record HealthCheck(EndpointId endpoint) implements Command {}

  /** Sends bytes to one or all other instances. The current engine never issues it. */
  record SendToPeer(PeerId peer, byte[] bytes) implements Command {}

  /** Writes one line to the log. */
  record Log(String text) implements Command {}
}
