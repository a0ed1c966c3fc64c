package stonespring.model;

import java.util.List;

/**
 * An event that the host reports to a {@link DecisionEngine}. Instants and durations are in {@link
 * DeciMillis}; no component is null. Events are immutable and may be passed between threads.
 */
public sealed interface Event {
  /** How an update of the endpoint list applies to the list that the engine holds. */
  enum ListUpdateKind {
    /** The update contains only changed entries; all others remain. */
    DELTA,
    /** The update contains the whole list; endpoints missing from it are removed. */
    SNAPSHOT,
    /**
     * The update contains the whole list as this instance held it before a restart; it may be
     * stale.
     */
    CACHED,
    /** A fetch or the watch failed, or the watch ended; the list that the engine holds remains. */
    FETCH_FAILED
  }

  /** An event that concerns one connected proxy. */
  sealed interface ProxyEvent extends Event {
    /** Returns the proxy that the event concerns. */
    ProxyId proxy();
  }

  /** The endpoint list changed or could not be obtained. */
  record EndpointListUpdate(ListUpdateKind kind, List<EndpointRecord> endpoints) implements Event {}

  /**
   * A message from another instance; only engines interpret its bytes. The current engine ignores
   * it.
   */
  record PeerMessage(PeerId from, byte[] bytes) implements Event {}

  /**
   * A proxy connected to this instance.
   *
   * @param requestsPerSecond rough estimate of the request rate that the proxy usually receives
   * @param withoutTables whether the proxy holds no tables beyond its bootstrap routes; if false,
   *     it may also hold tables assigned by another instance or during an earlier connection
   */
  record ProxyConnected(ProxyId proxy, ZoneId zone, double requestsPerSecond, boolean withoutTables)
      implements ProxyEvent {}

  /** The connection of a proxy ended. */
  record ProxyDisconnected(ProxyId proxy) implements ProxyEvent {}

  /**
   * The requests of one class that a proxy received during an interval.
   *
   * @param requests number of requests received, including rejected ones and clients' retries
   * @param unanswered number of requests that were admitted but never answered; the current engine
   *     does not read it
   * @param interval duration over which the requests were counted
   */
  record ProxyRequestRate(
      ProxyId proxy, RequestClassId requestClass, long requests, long unanswered, long interval)
      implements ProxyEvent {}

  /**
   * The requests of one class that all connected proxies received for a shard; the components match
   * those of {@link ProxyRequestRate}. The current engine ignores it.
   */
  record ShardRequestRate(
      RouteTableId shard,
      RequestClassId requestClass,
      long requests,
      long unanswered,
      long interval)
      implements Event {}

  /** This instance gained or lost ownership of a shard. The current engine ignores it. */
  record ShardOwnership(RouteTableId shard, boolean owned) implements Event {}

  /**
   * A route of a shard's stored table, reported after this instance gained ownership of the shard.
   * The current engine ignores it.
   */
  record ShardRoute(RouteTableId shard, EndpointId endpoint, double weight) implements Event {}

  /**
   * The outcomes of attempts at an endpoint, summed over the connected proxies of one zone.
   *
   * @param attempts number of attempts that ended
   * @param failures number of attempts that ended without a successful response
   * @param interval duration over which the attempts were counted
   * @param successLatency mean duration of successful attempts; 0 if there were none
   * @param report the latest load report received with a response; {@link LoadReport#NONE} if there
   *     was none
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

  /**
   * The outcomes of attempts at an endpoint that no list has named so far. They show whether the
   * list that the engine holds is out of date. No command may name the endpoint, since it may not
   * exist.
   */
  record UnlistedEndpointOutcomes(EndpointOutcomes outcomes) implements Event {}

  /** The result of a {@link Command.HealthCheck}. The current engine ignores it. */
  record HealthCheckResult(EndpointId endpoint, boolean healthy, long duration, LoadReport report)
      implements Event {}

  /**
   * A proxy acknowledged that it applied an update.
   *
   * @param duration time until the update took effect; some hosts measure it from the command,
   *     others from the update's arrival at the proxy. The current engine does not read it.
   */
  record UpdateAcknowledged(ProxyId proxy, AckId ack, long duration) implements ProxyEvent {}

  /** Route weights that the solver proposes for a proxy; the engine may adopt them in part. */
  record WeightsProposed(ProxyId proxy, List<Share> routes) implements ProxyEvent {
    /** The proposed share of the proxy's requests for one endpoint; the weight is 0 to 1. */
    public record Share(EndpointId endpoint, double weight) {}
  }

  /** A timer that the engine started has fired. */
  record TimerFired(TimerToken token) implements Event {}
}
