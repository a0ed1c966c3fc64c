package stonespring.state;

import stonespring.model.RetryPolicy;

/**
 * What proxies admit of a request class, and when they retry it.
 *
 * @param limit a fraction from 0 to 1, or requests per second at each proxy, as the settings'
 *     {@link stonespring.model.AdmissionLimitKind} has it; finite
 */
public record AdmissionLimit(double limit, RetryPolicy retryPolicy) {
  /** Checks that the limit can be written as a decimal; -0.0 becomes 0.0. */
  public AdmissionLimit {
    if (!Double.isFinite(limit)) {
      throw new IllegalArgumentException("admission limit " + limit);
    }
    limit += 0.0; // both zeros are published alike and must be equal
  }
}
