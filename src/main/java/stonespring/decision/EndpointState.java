package stonespring.decision;

import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;

/**
 * The state of one endpoint: its entry in the endpoint list, the outcomes that proxies observed,
 * and the estimates of the current round. The registry evicts a removed endpoint once no route
 * names it, and reuses the object for another endpoint. Ordered by index.
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

  /** Reinitializes this object for another endpoint, which has not been listed yet. */
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

  /** Sets zone and weight from the endpoint's list entry; a weight of 0 or less counts as 1. */
  void updateZoneAndWeight(EndpointRecord listed) {
    zone = listed.zone().index();
    listedWeight = listed.weight() > 0 ? listed.weight() : 1;
  }

  /**
   * Makes the endpoint available for requests.
   *
   * @param processStartedAt when the endpoint's process started, in DeciMillis; ignored if earlier
   *     than the start known so far
   */
  void markReady(long processStartedAt) {
    state = EndpointRecord.State.READY;
    removalPending = false;
    startedAt = Math.max(startedAt, processStartedAt);
  }

  /**
   * Makes the endpoint unavailable for new requests.
   *
   * @param newState draining or removed
   */
  void markOutOfService(EndpointRecord.State newState, long now) {
    state = newState;
    outOfServiceSince = now;
    removalPending = false;
  }

  /** Records that the list removed the endpoint, which stays in use until its attempts fail. */
  void markRemovalPending() {
    removalPending = true;
  }

  /** Marks the object as free for reuse by another endpoint. */
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

  /** The endpoint's position in arrays that hold a value per endpoint. */
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

  /** Whether route tables may use the endpoint. */
  boolean isReady() {
    return state == EndpointRecord.State.READY;
  }

  int zone() {
    return zone;
  }

  /** Relative capacity as listed; positive, without a unit. */
  double listedWeight() {
    return listedWeight;
  }

  /** When the endpoint's process started; 0 if unknown. */
  long startedAt() {
    return startedAt;
  }

  /** When the endpoint was last introduced into route tables; 0 if never. */
  long lastIntroducedAt() {
    return lastIntroducedAt;
  }

  /** When the endpoint was last marked as out of service, or first named if it never was ready. */
  long outOfServiceSince() {
    return outOfServiceSince;
  }

  /** Whether connected proxies were told not to use the endpoint even if their tables name it. */
  boolean isExcluded() {
    return excluded;
  }

  /** Whether the list removed the endpoint while it is still in use. */
  boolean isRemovalPending() {
    return removalPending;
  }

  /** Whether the endpoint was evicted and this object is free for reuse. */
  boolean isEvicted() {
    return evicted;
  }

  /**
   * Estimated requests per second that the endpoint can serve now, over all instances' proxies; 0
   * if it is not ready.
   */
  double capacity() {
    return capacity;
  }

  /** Requests per second that the target weights set so far in this batch send to the endpoint. */
  double plannedLoad() {
    return plannedLoad;
  }

  @Override
  public int compareTo(EndpointState other) {
    return Integer.compare(index, other.index);
  }
}
