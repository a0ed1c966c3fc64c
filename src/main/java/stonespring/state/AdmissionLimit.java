package stonespring.state;

import stonespring.model.RetryPolicy;

/**
 * The admission limit of a request class and the retry policy of its requests.
 *
 * @param limit a fraction from 0 to 1, or requests per second at each proxy, depending on the
 *     {@link stonespring.model.AdmissionLimitKind} in the settings; finite
 */
public record AdmissionLimit(double limit, RetryPolicy retryPolicy) {
  /** Rejects a limit that is not finite, since it has no decimal form; converts -0.0 to 0.0. */
  public AdmissionLimit {
    if (!Double.isFinite(limit)) {
      throw new IllegalArgumentException("admission limit must be finite, got " + limit);
    }
    limit += 0.0; // -0.0 and 0.0 have the same published form, so they must be equal
  }
}
