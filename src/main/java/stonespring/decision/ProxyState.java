package stonespring.decision;

import java.util.SortedMap;
import java.util.TreeMap;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;

/** One proxy: its connection, traffic, route table, proposal and channel account. */
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

  void connect(Event.ProxyConnected event, long now) {
    zone = event.zone().index();
    connected = true;
    tableAssigned = false;
    withoutTables = event.withoutTables();
    exclusionsRequested = false;
    connectedAt = now;
    channel.clearRecentMessages();
    requestRate.proxyConnected(event.requestsPerSecond());
  }

  void disconnect(long now) {
    connected = false;
    tableAssigned = false;
    disconnectedAt = now;
  }

  ProxyId id() {
    return id;
  }

  /** The number of its route table; each proxy has one of its own. */
  RouteTableId tableId() {
    return new RouteTableId(id.number());
  }

  int zone() {
    return zone;
  }

  RequestRateEstimator requestRate() {
    return requestRate;
  }

  /** Smoothed requests per second that it receives. */
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
   * Pending replacements of routes: from the endpoint that a route names to the one that enters.
   */
  SortedMap<EndpointState, EndpointState> replacements() {
    return replacements;
  }

  boolean isConnected() {
    return connected;
  }

  long connectedAt() {
    return connectedAt;
  }

  long disconnectedAt() {
    return disconnectedAt;
  }

  /** Whether it connected with only the tables that it started with. */
  boolean isWithoutTables() {
    return withoutTables;
  }

  /** Whether it is connected and uses the table that this instance assigned to it. */
  boolean isTableAssigned() {
    return tableAssigned;
  }

  void markTableAssigned() {
    tableAssigned = true;
  }

  /** Whether it is connected and may hold tables that this instance does not know. */
  boolean mayHoldUnknownTables() {
    return connected && !tableAssigned;
  }

  /** Whether exclusion notices were requested since it connected. */
  boolean areExclusionsRequested() {
    return exclusionsRequested;
  }

  void markExclusionsRequested() {
    exclusionsRequested = true;
  }

  /** Rounds for which its move has waited. */
  int roundsWaited() {
    return roundsWaited;
  }

  void waitAnotherRound() {
    roundsWaited++;
  }

  void resetRoundsWaited() {
    roundsWaited = 0;
  }

  /** Requests per second that a route's target would bring its endpoint; below 0 to take away. */
  double rateChange(Route route) {
    return averageRate() * (route.target() - route.weight());
  }
}
