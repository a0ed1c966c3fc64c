package stonespring.decision;

import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;

/**
 * One endpoint: what the endpoint list says of it, what proxies observed, and the estimates of the
 * current round. The registry reuses the object for another endpoint once no route names it.
 * Ordered by index.
 */
final class EndpointState implements Comparable<EndpointState> {
  private final int index;
  private final EndpointStatistics statistics;
  private EndpointId id;
  private EndpointRecord.State state;
  private int zone;
  private double listedWeight;
  private long startedAt;
  private long lastIntroducedAt;
  private long outOfServiceSince;
  private boolean excluded;
  private boolean removalPending;
  private boolean evicted;
  private double capacity;
  private double plannedLoad;

  EndpointState(int index, EndpointStatistics statistics) {
    this.index = index;
    this.statistics = statistics;
  }

  /** Starts anew for an endpoint that is not listed yet. */
  void resetFor(EndpointId newId, long now) {
    id = newId;
    state = EndpointRecord.State.REMOVED;
    excluded = false;
    evicted = false;
    startedAt = 0;
    lastIntroducedAt = 0;
    outOfServiceSince = now;
    statistics.reset();
  }

  /** Takes zone and weight from the list; a weight that is not positive counts as 1. */
  void updateZoneAndWeight(EndpointRecord listed) {
    zone = listed.zone().index();
    listedWeight = listed.weight() > 0 ? listed.weight() : 1;
  }

  /** Takes requests from now on. */
  void markReady(long processStartedAt) {
    state = EndpointRecord.State.READY;
    removalPending = false;
    startedAt = Math.max(startedAt, processStartedAt);
  }

  /** Takes no new requests from now on. */
  void markOutOfService(EndpointRecord.State newState, long now) {
    state = newState;
    outOfServiceSince = now;
    removalPending = false;
  }

  /** The list removed it, but it is used until its attempts fail. */
  void markRemovalPending() {
    removalPending = true;
  }

  void markEvicted() {
    evicted = true;
  }

  void markIntroduced(long now) {
    lastIntroducedAt = now;
  }

  void setExcluded(boolean excluded) {
    this.excluded = excluded;
  }

  void setCapacity(double capacity) {
    this.capacity = capacity;
  }

  void setPlannedLoad(double plannedLoad) {
    this.plannedLoad = plannedLoad;
  }

  void addPlannedLoad(double load) {
    plannedLoad += load;
  }

  /** Position in arrays that hold a figure for each endpoint. */
  int index() {
    return index;
  }

  EndpointId id() {
    return id;
  }

  EndpointStatistics statistics() {
    return statistics;
  }

  EndpointRecord.State state() {
    return state;
  }

  /** Whether it may be used. */
  boolean isReady() {
    return state == EndpointRecord.State.READY;
  }

  int zone() {
    return zone;
  }

  /** Relative capacity by the list; no unit. */
  double listedWeight() {
    return listedWeight;
  }

  long startedAt() {
    return startedAt;
  }

  /** When route tables last took it in; 0 if never. */
  long lastIntroducedAt() {
    return lastIntroducedAt;
  }

  long outOfServiceSince() {
    return outOfServiceSince;
  }

  /** Whether connected proxies were notified not to use it, whatever their tables say. */
  boolean isExcluded() {
    return excluded;
  }

  /** Whether the list removed it and it is still in use. */
  boolean isRemovalPending() {
    return removalPending;
  }

  /** Whether the object waits for another endpoint. */
  boolean isEvicted() {
    return evicted;
  }

  /** Estimated requests per second that it can serve now, from all instances; 0 if not ready. */
  double capacity() {
    return capacity;
  }

  /** Requests per second that this round's tables bring it so far. */
  double plannedLoad() {
    return plannedLoad;
  }

  @Override
  public int compareTo(EndpointState other) {
    return Integer.compare(index, other.index);
  }
}
