package stonespring.proxy.routing;

import java.util.Arrays;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.DeterministicRandom;

/**
 * Enforces admission limits: a fraction by random choice, a rate with a token bucket for each
 * request class.
 */
final class AdmissionLimiter {
  /**
   * Capacity of a token bucket, in seconds at its rate; it bounds the burst that is admitted after
   * a period with few requests.
   */
  private static final double BURST_SECONDS = 1;

  private final AdmissionLimitKind kind;
  private final DeterministicRandom random;

  /** Tokens left by request class; NaN before the first use, when the bucket is full. */
  private final double[] tokens;

  private final long[] lastRefillAt;

  AdmissionLimiter(AdmissionLimitKind kind, int requestClassCount, DeterministicRandom random) {
    this.kind = kind;
    this.random = random;
    this.tokens = new double[requestClassCount];
    this.lastRefillAt = new long[requestClassCount];
    Arrays.fill(tokens, Double.NaN);
  }

  /**
   * Decides whether one request is admitted; with a rate limit, an admitted request takes a token.
   *
   * @param limit the limit that applies, or null if there is none
   */
  boolean admit(int requestClass, AdmissionLimit limit, long now) {
    if (limit == null || kind == AdmissionLimitKind.NONE) {
      return true;
    }
    if (kind == AdmissionLimitKind.FRACTION) {
      return limit.value() >= 1 || random.nextDouble() < limit.value();
    }
    return takeToken(requestClass, limit.value(), now);
  }

  private boolean takeToken(int requestClass, double requestsPerSecond, long now) {
    double capacity = Math.max(1, requestsPerSecond * BURST_SECONDS);
    double elapsedSeconds = (now - lastRefillAt[requestClass]) / (double) DeciMillis.SECOND;
    double refilled =
        Double.isNaN(tokens[requestClass])
            ? capacity
            : tokens[requestClass] + elapsedSeconds * requestsPerSecond;
    tokens[requestClass] = Math.min(capacity, refilled);
    lastRefillAt[requestClass] = now;
    if (tokens[requestClass] < 1 || requestsPerSecond == 0) {
      return false;
    }
    tokens[requestClass]--;
    return true;
  }
}
