package stonespring.model;

/** Whether a request may be executed more than once. */
public enum RetrySafety {
  /** Any number of executions has the effect of one. */
  IDEMPOTENT,
  /** Endpoints recognise a repeat by its key. */
  IDEMPOTENCY_KEYED,
  /** A repeat may take effect again. */
  NON_IDEMPOTENT
}
