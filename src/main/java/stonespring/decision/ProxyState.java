package stonespring.decision;

import java.util.SortedMap;
import java.util.TreeMap;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;

/**
 * The state of one proxy: its connection, traffic, route table, proposed weights and the usage of
 * its channel.
 */
final class ProxyState {
  private final ProxyId id;
  private final RequestRateEstimator requestRate;
  private final RouteTable table = new RouteTable();
  private final ProxyChannel channel = new ProxyChannel();
  private final WeightProposal proposal = new WeightProposal();
  private final SortedMap<EndpointState, EndpointState> replacements = new TreeMap<>();
  private int zone;
  private boolean connected;
  private boolean withoutTables;
  private boolean tableAssigned;
  private boolean exclusionsRequested;
  private long connectedAt;
  private long disconnectedAt = EngineClock.NEVER;
  private int roundsWaited;

  ProxyState(ProxyId id, int requestClassCount) {
    this.id = id;
    requestRate = new RequestRateEstimator(requestClassCount);
  }

  void markConnected(Event.ProxyConnected event, long now) {
    zone = event.zone().index();
    connected = true;
    tableAssigned = false;
    withoutTables = event.withoutTables();
    exclusionsRequested = false;
    connectedAt = now;
    channel.clearRecentMessages();
    requestRate.applyStatedRate(event.requestsPerSecond());
  }

  void markDisconnected(long now) {
    connected = false;
    tableAssigned = false;
    disconnectedAt = now;
  }

  ProxyId id() {
    return id;
  }

  /** The identifier of the proxy's route table; each proxy has its own table. */
  RouteTableId tableId() {
    return new RouteTableId(id.number());
  }

  int zone() {
    return zone;
  }

  RequestRateEstimator requestRate() {
    return requestRate;
  }

  /** Smoothed requests per second that the proxy receives. */
  double averageRate() {
    return requestRate.averageRate();
  }

  RouteTable table() {
    return table;
  }

  ProxyChannel channel() {
    return channel;
  }

  WeightProposal proposal() {
    return proposal;
  }

  /**
   * Pending replacements of routes: the endpoint of an existing route, mapped to the endpoint that
   * replaces it.
   */
  SortedMap<EndpointState, EndpointState> replacements() {
    return replacements;
  }

  boolean isConnected() {
    return connected;
  }

  /** When the proxy last connected; 0 if never. */
  long connectedAt() {
    return connectedAt;
  }

  /** When the proxy last disconnected; {@link EngineClock#NEVER} if never. */
  long disconnectedAt() {
    return disconnectedAt;
  }

  /** Whether the proxy, when it last connected, had only the tables that it started with. */
  boolean isWithoutTables() {
    return withoutTables;
  }

  /** Whether the proxy is connected and uses the table that this instance assigned to it. */
  boolean isTableAssigned() {
    return tableAssigned;
  }

  void markTableAssigned() {
    tableAssigned = true;
  }

  /** Whether the proxy is connected and may hold tables that this instance does not know. */
  boolean mayHoldUnknownTables() {
    return connected && !tableAssigned;
  }

  /** Whether exclusion notices were requested for the proxy since it last connected. */
  boolean areExclusionsRequested() {
    return exclusionsRequested;
  }

  void markExclusionsRequested() {
    exclusionsRequested = true;
  }

  /** Number of rounds for which the proxy's pending move has been postponed. */
  int roundsWaited() {
    return roundsWaited;
  }

  void incrementRoundsWaited() {
    roundsWaited++;
  }

  void resetRoundsWaited() {
    roundsWaited = 0;
  }

  /**
   * The change of the endpoint's load, in requests per second, if the route's target were applied;
   * negative if the load would decrease.
   */
  double rateChange(Route route) {
    return averageRate() * (route.target() - route.weight());
  }
}
