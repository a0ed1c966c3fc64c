package stonespring.model;

/** What the number of an admission limit means. */
public enum AdmissionLimitKind {
  /** Proxies limit nothing. */
  NONE,
  /** A fraction of the requests, 0 to 1. */
  FRACTION,
  /** Requests per second at each proxy. */
  RATE
}
