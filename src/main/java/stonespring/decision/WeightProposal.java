package stonespring.decision;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import stonespring.model.DeciMillis;

/** The weights that the solver last proposed for a proxy. */
final class WeightProposal {
  /** Age at which a proposal has half its influence; about the age of reports on arrival. */
  private static final double HALF_LIFE_DECI_MILLIS = 3 * DeciMillis.SECOND;

  /** Influence below which a proposal is too old to count. */
  private static final double MIN_INFLUENCE = 0.1;

  private final SortedMap<EndpointState, Double> weights = new TreeMap<>();
  private long proposedAt = EngineClock.NEVER;

  /** Discards the last proposal and starts a new one without weights. */
  void restart(long now) {
    weights.clear();
    proposedAt = now;
  }

  void put(EndpointState endpoint, double weight) {
    weights.put(endpoint, weight);
  }

  /** Returns the proposed share of the proxy's requests; 0 if none is proposed. */
  double weight(EndpointState endpoint) {
    return weights.getOrDefault(endpoint, 0.0);
  }

  /**
   * Returns the proposed shares, all above 0, in the order of endpoint indexes. The map is a
   * read-only view.
   */
  SortedMap<EndpointState, Double> weights() {
    return Collections.unmodifiableSortedMap(weights);
  }

  /**
   * Returns how far the proposal replaces the engine's own weights, 0 to 1. It halves with each
   * half-life and is 0 once the proposal is too old to count.
   */
  double influence(long now) {
    double influence = Math.pow(0.5, (now - proposedAt) / HALF_LIFE_DECI_MILLIS);
    return influence < MIN_INFLUENCE ? 0 : influence;
  }
}
