package stonespring.decision;

/** The failures that the {@link OutlierEjectionModel} assumes. */
enum EjectionScenario {
  /** Failures as reports show them. */
  OBSERVED,
  /**
   * Failures that may have begun before reports show them, at all endpoints but the one in
   * question.
   */
  WORST_CASE
}
