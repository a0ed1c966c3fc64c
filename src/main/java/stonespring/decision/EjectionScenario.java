package stonespring.decision;

/** Which failures the {@link OutlierEjectionModel} takes into account. */
enum EjectionScenario {
  /** Those that reports show. */
  OBSERVED,
  /** Those that may begin before reports show them, everywhere but at the endpoint in question. */
  WORST_CASE
}
