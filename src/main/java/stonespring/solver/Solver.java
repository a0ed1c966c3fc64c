package stonespring.solver;

/**
 * Computes plans, each starting from the previous plan and flow, so that a small change of the
 * fleet costs little computation and changes few routes.
 */
public final class Solver {
  /** Flow of the previous plan; null before the first. */
  private Flow lastFlow;

  /** Previous plan; null before the first. */
  private Plan lastPlan;

  /** Computes the plan for a problem. The same sequence of problems always gives the same plans. */
  public Plan solve(Problem problem) {
    lastFlow = new Flow(problem, lastFlow);
    lastPlan = new SubsetSelector(problem, lastFlow, lastPlan).select();
    return lastPlan;
  }
}
