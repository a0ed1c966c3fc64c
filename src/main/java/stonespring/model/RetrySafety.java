package stonespring.model;

/** Whether executing a request more than once is safe. */
public enum RetrySafety {
  /** Repeated executions have the same effect as a single execution. */
  IDEMPOTENT,
  /** Endpoints recognize a repeated request by its idempotency key. */
  IDEMPOTENCY_KEYED,
  /** A repeated execution may take effect a second time. */
  NON_IDEMPOTENT
}
