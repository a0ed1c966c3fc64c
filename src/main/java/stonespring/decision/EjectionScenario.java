package stonespring.decision;

/** The failures that the {@link OutlierEjectionModel} assumes. */
enum EjectionScenario {
  /** Failures as reports show them. */
  OBSERVED,
  /**
   * Failures that may have begun before reports show them, at all endpoints of a proxy except the
   * one whose possible load is computed.
   */
  WORST_CASE
}
