package stonespring.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.Settings;

/**
 * Holds all known endpoints under dense indexes, and applies updates of the endpoint list and
 * reported outcomes to them.
 */
final class EndpointRegistry {
  /**
   * Time for which a removed endpoint is kept; longer than any proxy keeps a table that names a
   * removed endpoint.
   */
  private static final long REMOVED_RETENTION_DECI_MILLIS = 600 * DeciMillis.SECOND;

  /**
   * Share of failed attempts above which a pending removal is confirmed; higher than the share at
   * overloaded endpoints.
   */
  private static final double REMOVAL_CONFIRMED_FAILURE_SHARE = 0.8;

  /**
   * Number of report intervals for which a success at an unlisted endpoint shows that a cached list
   * is out of date; reports may come late.
   */
  private static final int OUTDATED_LIST_REPORT_INTERVALS = 3;

  private final Settings settings;
  private final EngineClock clock;
  private final LatencyModel latencyModel;
  private final List<EndpointState> endpoints = new ArrayList<>();
  private final List<EndpointState> endpointsView = Collections.unmodifiableList(endpoints);
  private final ArrayDeque<EndpointState> vacantStates = new ArrayDeque<>();
  private final Map<EndpointId, EndpointState> byId = new HashMap<>();
  private final List<EndpointState> newlyReady = new ArrayList<>();
  private boolean exclusionsNeeded;

  /** Whether discovery has provided a list since this instance started. */
  private boolean listReceived;

  /** When reports last showed that an unlisted endpoint works. */
  private long unlistedSuccessAt = EngineClock.NEVER;

  EndpointRegistry(Settings settings, EngineClock clock, LatencyModel latencyModel) {
    this.settings = settings;
    this.clock = clock;
    this.latencyModel = latencyModel;
  }

  /**
   * All endpoint states by index, as an unmodifiable view. Includes those of evicted endpoints,
   * which are not ready.
   */
  List<EndpointState> all() {
    return endpointsView;
  }

  int size() {
    return endpoints.size();
  }

  /**
   * Returns whether decisions may be based on the endpoint list. A list that discovery has provided
   * since this instance started always counts. A cached list counts if it names a ready endpoint,
   * unless reports show that it is out of date: proxies succeed at endpoints that it lacks. Without
   * a usable list, the endpoints that proxies use may all work, and are to be left to them.
   */
  boolean isListUsable() {
    return listReceived || !isCachedListOutdated() && anyReady();
  }

  private boolean isCachedListOutdated() {
    return unlistedSuccessAt != EngineClock.NEVER
        && clock.since(unlistedSuccessAt)
            <= OUTDATED_LIST_REPORT_INTERVALS * settings.reportInterval();
  }

  private boolean anyReady() {
    return endpoints.stream().anyMatch(EndpointState::isReady);
  }

  Optional<EndpointState> find(EndpointId id) {
    return Optional.ofNullable(byId.get(id));
  }

  Stream<EndpointState> notReady() {
    return endpoints.stream().filter(endpoint -> !endpoint.isReady());
  }

  /** Sums a value over the ready endpoints, in the order of their indexes. */
  double sumOverReady(ToDoubleFunction<EndpointState> value) {
    double sum = 0;
    for (EndpointState endpoint : endpoints) {
      if (endpoint.isReady()) {
        sum += value.applyAsDouble(endpoint);
      }
    }
    return sum;
  }

  /** The minimum share of its full capacity that a warming endpoint has now; 1 once it is warm. */
  double warmUpFraction(EndpointState endpoint) {
    return settings.slowStart().warmUpFraction(endpoint.startedAt(), clock.now());
  }

  boolean isWarm(EndpointState endpoint) {
    return warmUpFraction(endpoint) >= 1;
  }

  /**
   * Returns whether exclusion notices have become necessary since the last call, and clears the
   * flag. They are necessary when an endpoint went out of service, or when an endpoint was added
   * that tables unknown to this instance may name.
   */
  boolean testAndClearExclusionsNeeded() {
    boolean taken = exclusionsNeeded;
    exclusionsNeeded = false;
    return taken;
  }

  /** Removes and returns the endpoints that became ready or restarted since the last call. */
  List<EndpointState> takeNewlyReady() {
    List<EndpointState> taken = new ArrayList<>(newlyReady);
    newlyReady.clear();
    return taken;
  }

  /** Applies a whole endpoint list or a delta. */
  void applyUpdate(Event.EndpointListUpdate update) {
    listReceived |= update.kind() != Event.ListUpdateKind.CACHED;
    boolean[] listed = new boolean[endpoints.size() + update.endpoints().size()];
    for (EndpointRecord entry : update.endpoints()) {
      EndpointState endpoint = findOrAdd(entry.endpoint());
      listed[endpoint.index()] = true;
      applyEntry(endpoint, entry);
    }
    if (update.kind() != Event.ListUpdateKind.SNAPSHOT) {
      return;
    }
    for (EndpointState endpoint : endpoints) {
      if (!listed[endpoint.index()] && endpoint.state() != EndpointRecord.State.REMOVED) {
        stopUsing(endpoint, EndpointRecord.State.REMOVED);
      }
    }
  }

  private void applyEntry(EndpointState endpoint, EndpointRecord entry) {
    endpoint.updateZoneAndWeight(entry);
    if (entry.state() != EndpointRecord.State.READY) {
      stopUsing(endpoint, entry.state());
      return;
    }
    boolean restarted = entry.startedAt() > endpoint.startedAt();
    if (restarted || !endpoint.isReady()) {
      newlyReady.add(endpoint);
    }
    if (restarted) {
      endpoint.statistics().reset();
    }
    endpoint.markReady(entry.startedAt());
  }

  /**
   * Stops the use of an endpoint that is listed as draining or removed. A list may lack endpoints
   * that still serve: where the settings allow it, a removed endpoint is used until its attempts
   * fail as well. This guards against wrong or late lists, at the cost of the attempts that fail
   * when the endpoint really is gone.
   */
  private void stopUsing(EndpointState endpoint, EndpointRecord.State newState) {
    if (settings.endpointList().removedEndpointsKeepServing()
        && newState == EndpointRecord.State.REMOVED
        && endpoint.isReady()) {
      endpoint.markRemovalPending();
      return;
    }
    takeOutOfService(endpoint, newState);
  }

  private void takeOutOfService(EndpointState endpoint, EndpointRecord.State newState) {
    endpoint.markOutOfService(newState, clock.now());
    exclusionsNeeded = true;
  }

  /**
   * Records reported outcomes. An endpoint that proxies use although no list has named it was
   * removed before this instance started, provided that the list is usable; its outcomes are
   * ignored where removed endpoints may keep serving.
   *
   * @return whether the outcomes were recorded
   */
  boolean recordOutcomes(Event.EndpointOutcomes outcomes) {
    if (!byId.containsKey(outcomes.endpoint())) {
      recordUnlistedOutcomes(outcomes);
      if (!isListUsable() || settings.endpointList().removedEndpointsKeepServing()) {
        return false;
      }
    }
    EndpointState endpoint = findOrAdd(outcomes.endpoint());
    endpoint.statistics().record(outcomes, clock.now());
    double failureShare = 1 - endpoint.statistics().successShare();
    if (endpoint.isRemovalPending() && failureShare > REMOVAL_CONFIRMED_FAILURE_SHARE) {
      takeOutOfService(endpoint, EndpointRecord.State.REMOVED);
    }
    return true;
  }

  /**
   * Records outcomes at an endpoint that no list has named. If most attempts succeed, the endpoint
   * works, so that a cached list that lacks it is out of date.
   */
  void recordUnlistedOutcomes(Event.EndpointOutcomes outcomes) {
    long successes = outcomes.attempts() - outcomes.failures();
    if (successes > outcomes.failures()) {
      unlistedSuccessAt = clock.now();
    }
  }

  private EndpointState findOrAdd(EndpointId id) {
    EndpointState known = byId.get(id);
    if (known != null) {
      return known;
    }
    EndpointState added = vacantStates.isEmpty() ? append() : vacantStates.poll();
    added.resetFor(id, clock.now());
    byId.put(id, added);
    exclusionsNeeded = true;
    return added;
  }

  private EndpointState append() {
    EndpointStatistics statistics = new EndpointStatistics(latencyModel, settings.fleet().zones());
    EndpointState endpoint = new EndpointState(endpoints.size(), statistics);
    endpoints.add(endpoint);
    return endpoint;
  }

  /**
   * Updates all statistics at the start of a round, and evicts endpoints that were removed longer
   * ago than the retention period and are in no route table.
   *
   * @param inTable whether any route table has a route to an endpoint
   * @param evictionListener called before an endpoint is evicted
   */
  void startRound(Predicate<EndpointState> inTable, Consumer<EndpointState> evictionListener) {
    for (EndpointState endpoint : endpoints) {
      if (!endpoint.isEvicted()
          && endpoint.state() == EndpointRecord.State.REMOVED
          && clock.since(endpoint.outOfServiceSince()) > REMOVED_RETENTION_DECI_MILLIS
          && !inTable.test(endpoint)) {
        evictionListener.accept(endpoint);
        byId.remove(endpoint.id());
        endpoint.markEvicted();
        vacantStates.add(endpoint);
      }
      endpoint.statistics().startRound(clock.now(), settings.reportInterval());
    }
  }
}
