package stonespring.model;

import java.util.List;

/**
 * What a {@link DecisionEngine} is notified of. Instants and durations are in {@link DeciMillis};
 * no component is null. Events are immutable and may be passed between threads.
 */
public sealed interface Event {
  /** How an update of the endpoint list relates to the list that the engine holds. */
  enum ListUpdateKind {
    /** Entries that changed; all others stand. */
    DELTA,
    /** The whole list; an endpoint that it lacks is removed. */
    SNAPSHOT,
    /** The whole list as this instance last held it, before a restart; it may be stale. */
    CACHED,
    /** A fetch or a watch failed, or the watch ended; the list held stands. */
    FETCH_FAILED
  }

  /** An event of one connected proxy. */
  sealed interface ProxyEvent extends Event {
    /** The proxy that the event is about. */
    ProxyId proxy();
  }

  /** The endpoint list changed, or could not be had. */
  record EndpointListUpdate(ListUpdateKind kind, List<EndpointRecord> endpoints) implements Event {}

  /**
   * Another instance sent a message; its bytes have no meaning outside the engine. The present
   * engine ignores it.
   */
  record PeerMessage(PeerId from, byte[] bytes) implements Event {}

  /**
   * A proxy connected.
   *
   * @param requestsPerSecond what it usually receives; rough
   * @param withoutTables whether it holds at most its bootstrap routes; if false, it may also hold
   *     tables that another instance, or an earlier connection, assigned to it
   */
  record ProxyConnected(ProxyId proxy, ZoneId zone, double requestsPerSecond, boolean withoutTables)
      implements ProxyEvent {}

  /** A proxy's connection ended. */
  record ProxyDisconnected(ProxyId proxy) implements ProxyEvent {}

  /**
   * Requests of one class that a proxy received.
   *
   * @param requests all that were received, rejected ones and repeats of clients included
   * @param unanswered requests that were admitted and never answered; the present engine does not
   *     read it
   * @param interval the time that they were counted over
   */
  record ProxyRequestRate(
      ProxyId proxy, RequestClassId requestClass, long requests, long unanswered, long interval)
      implements ProxyEvent {}

  /**
   * Requests of one class that all connected proxies received for a shard; components as in {@link
   * ProxyRequestRate}. The present engine ignores it.
   */
  record ShardRequestRate(
      RouteTableId shard,
      RequestClassId requestClass,
      long requests,
      long unanswered,
      long interval)
      implements Event {}

  /** A shard was assigned to this instance or taken from it. The present engine ignores it. */
  record ShardOwnership(RouteTableId shard, boolean owned) implements Event {}

  /**
   * A route of a shard's stored table, following the shard's assignment. The present engine ignores
   * it.
   */
  record ShardRoute(RouteTableId shard, EndpointId endpoint, double weight) implements Event {}

  /**
   * What the connected proxies of one zone observed at an endpoint.
   *
   * @param attempts attempts that ended
   * @param failures attempts without a successful answer
   * @param interval the time that they were counted over
   * @param successLatency mean duration of the successful ones, 0 if there were none
   * @param report the latest load report among the answers
   */
  record EndpointOutcomes(
      EndpointId endpoint,
      ZoneId proxyZone,
      long attempts,
      long failures,
      long interval,
      long successLatency,
      LoadReport report)
      implements Event {}

  /** The result of a {@link Command.HealthCheck}. The present engine ignores it. */
  record HealthCheckResult(EndpointId endpoint, boolean healthy, long duration, LoadReport report)
      implements Event {}

  /**
   * A proxy applied the update that carried an acknowledgement request.
   *
   * @param duration how long the update took; some hosts measure from the command to its effect,
   *     others from the update's arrival at the proxy. The present engine does not read it.
   */
  record UpdateAcknowledged(ProxyId proxy, AckId ack, long duration) implements ProxyEvent {}

  /** Weights that the solver proposes for a proxy: advice that the engine may follow in part. */
  record WeightsProposed(ProxyId proxy, List<Share> routes) implements ProxyEvent {
    /** The share of the proxy's requests, 0 to 1, that an endpoint would get. */
    public record Share(EndpointId endpoint, double weight) {}
  }

  /** A timer that the engine started has run out. */
  record TimerFired(TimerToken token) implements Event {}
}
