package stonespring.model;

/** When a proxy repeats a request at another endpoint. */
public enum RetryPolicy {
  /** Not at all. */
  NEVER,
  /** Once, if it is proven that the first attempt was not executed. */
  IF_NOT_EXECUTED,
  /** Once, after any failure. The present engine never commands it. */
  ONCE_ON_FAILURE,
  /** Twice, after any failure. The present engine never commands it. */
  TWICE_ON_FAILURE
}
