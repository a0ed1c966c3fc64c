package stonespring.decision;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import stonespring.model.DeciMillis;

/** The weights that the solver last proposed for a proxy. */
final class WeightProposal {
  /** DeciMillis; about as old as reports are when they arrive. */
  private static final double HALF_LIFE_DECI_MILLIS = 3 * DeciMillis.SECOND;

  private static final double MIN_INFLUENCE = 0.1;

  private final SortedMap<EndpointState, Double> weights = new TreeMap<>();
  private long proposedAt = EngineClock.NEVER;

  /** Discards the last proposal and starts another one. */
  void restart(long now) {
    weights.clear();
    proposedAt = now;
  }

  void put(EndpointState endpoint, double weight) {
    weights.put(endpoint, weight);
  }

  /** The proposed share of the proxy's requests; 0 if none is proposed. */
  double weight(EndpointState endpoint) {
    return weights.getOrDefault(endpoint, 0.0);
  }

  /** The proposed shares, all above 0, by endpoint index. */
  SortedMap<EndpointState, Double> weights() {
    return Collections.unmodifiableSortedMap(weights);
  }

  /** How far the proposal replaces the engine's own weights, 0 to 1; less as it grows older. */
  double influence(long now) {
    double influence = Math.pow(0.5, (now - proposedAt) / HALF_LIFE_DECI_MILLIS);
    return influence < MIN_INFLUENCE ? 0 : influence;
  }
}
