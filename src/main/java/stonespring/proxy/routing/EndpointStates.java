package stonespring.proxy.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.EndpointId;

/**
 * The state of each endpoint as observed from the proxy's own attempts, stored in arrays. Endpoints
 * are numbered from 0 in the order in which they are first seen.
 */
final class EndpointStates {
  /** Index that stands for no endpoint. */
  static final int NONE = -1;

  private static final int INITIAL_CAPACITY = 16;

  private final Map<String, Integer> indexByName = new HashMap<>();
  private final List<EndpointId> endpoints = new ArrayList<>();
  private int[] inFlight = new int[INITIAL_CAPACITY];
  private int[] consecutiveFailures = new int[INITIAL_CAPACITY];
  private long[] ejectedUntil = new long[INITIAL_CAPACITY];

  /**
   * Returns the index of an endpoint; assigns the next free index to one that was not seen before.
   */
  int indexOf(String name) {
    Integer knownIndex = indexByName.get(name);
    if (knownIndex != null) {
      return knownIndex;
    }
    int index = endpoints.size();
    indexByName.put(name, index);
    endpoints.add(new EndpointId(name));
    if (index == inFlight.length) {
      inFlight = Arrays.copyOf(inFlight, 2 * index);
      consecutiveFailures = Arrays.copyOf(consecutiveFailures, 2 * index);
      ejectedUntil = Arrays.copyOf(ejectedUntil, 2 * index);
    }
    return index;
  }

  /** The index of an endpoint, or {@link #NONE} if none has been assigned. */
  int indexIfKnown(String name) {
    return indexByName.getOrDefault(name, NONE);
  }

  EndpointId endpoint(int index) {
    return endpoints.get(index);
  }

  int inFlight(int index) {
    return inFlight[index];
  }

  void incrementInFlight(int index) {
    inFlight[index]++;
  }

  void decrementInFlight(int index) {
    inFlight[index] = Math.max(0, inFlight[index] - 1);
  }

  /**
   * Records an attempt's outcome and returns the number of consecutive failures, this attempt
   * included.
   */
  int recordOutcome(int index, boolean succeeded) {
    consecutiveFailures[index] = succeeded ? 0 : consecutiveFailures[index] + 1;
    return consecutiveFailures[index];
  }

  boolean isEjected(int index, long now) {
    return ejectedUntil[index] > now;
  }

  void eject(int index, long until) {
    consecutiveFailures[index] = 0;
    ejectedUntil[index] = until;
  }
}
