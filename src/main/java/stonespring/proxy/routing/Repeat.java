package stonespring.proxy.routing;

/** Whether an op may run again. */
public enum Repeat {
  RETRYABLE,
  DEDUPLICATED,
  ONCE_ONLY
}
