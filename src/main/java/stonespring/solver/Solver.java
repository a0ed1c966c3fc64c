package stonespring.solver;

/**
 * Keeps the last plan and flow, so that a small change of the fleet costs little work and changes
 * few routes.
 */
public final class Solver {
  private Flow lastFlow;
  private Plan lastPlan;

  /** The plan for a problem; the same problems in the same order give the same plans. */
  public Plan solve(Problem problem) {
    lastFlow = new Flow(problem, lastFlow);
    lastPlan = new SubsetSelector(problem, lastFlow, lastPlan).select();
    return lastPlan;
  }
}
