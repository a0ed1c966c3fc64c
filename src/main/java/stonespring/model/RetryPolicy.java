package stonespring.model;

/** When a proxy retries a failed request at another endpoint. */
public enum RetryPolicy {
  /** The proxy never retries. */
  NEVER,
  /** The proxy retries once, if the first attempt provably was not executed. */
  IF_NOT_EXECUTED,
  /** The proxy retries once, after any failure. The current engine never uses this policy. */
  ONCE_ON_FAILURE,
  /** The proxy retries up to twice, after any failure. The current engine never uses it. */
  TWICE_ON_FAILURE
}
