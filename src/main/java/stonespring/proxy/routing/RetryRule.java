package stonespring.proxy.routing;

import stonespring.model.RetryPolicy;

/**
 * Decides whether a request may be sent again. A request that may have been executed is repeated
 * only if the retry policy in force allows it and its class is safe to repeat.
 */
final class RetryRule {
  private final RouterSettings settings;

  RetryRule(RouterSettings settings) {
    this.settings = settings;
  }

  /**
   * Whether another attempt may be made.
   *
   * @param limit the admission limit in force for the class, which carries the retry policy; if
   *     null, the policy is {@link RetryPolicy#IF_NOT_EXECUTED}
   */
  boolean mayRetry(int requestClass, RequestProgress request, AdmissionLimit limit, long now) {
    RetryPolicy policy = limit == null ? RetryPolicy.IF_NOT_EXECUTED : limit.retryPolicy();
    boolean hasTimeForRetry = request.deadline() - now >= settings.minTimeForRetryDeciMillis();
    if (policy == RetryPolicy.NEVER
        || !hasTimeForRetry
        || request.attempts() > maxRetries(policy)) {
      return false;
    }
    if (request.provenNotExecuted()) {
      return true;
    }
    return policy != RetryPolicy.IF_NOT_EXECUTED && isSafeToRepeat(requestClass, request, now);
  }

  private static int maxRetries(RetryPolicy policy) {
    return policy == RetryPolicy.TWICE_ON_FAILURE ? 2 : 1;
  }

  private boolean isSafeToRepeat(int requestClass, RequestProgress request, long now) {
    RouterSettings.ClassSettings classSettings = settings.requestClasses().get(requestClass);
    return switch (classSettings.retrySafety()) {
      case IDEMPOTENT -> true;
      // The retry must be sent before the endpoints forget the key of the first attempt.
      case IDEMPOTENCY_KEYED ->
          now - request.firstAttemptAt() < classSettings.deduplicationWindowDeciMillis();
      case NON_IDEMPOTENT -> false;
    };
  }
}
