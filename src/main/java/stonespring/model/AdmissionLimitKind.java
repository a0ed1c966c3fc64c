package stonespring.model;

/** Unit of an admission limit, the same for the whole fleet. */
public enum AdmissionLimitKind {
  /** Proxies admit every request. */
  NONE,
  /** The limit is the fraction of requests that a proxy admits, 0 to 1. */
  FRACTION,
  /** The limit is the number of requests per second that each proxy admits. */
  RATE
}
