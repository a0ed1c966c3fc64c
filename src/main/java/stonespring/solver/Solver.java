package stonespring.solver;

/**
 * Keeps the last plan and flow, so that a small change of the fleet costs little work and changes
 * few routes.
 */
public final class Solver {
  private Flow flow;
  private Plan plan;

  /** The plan for a problem; the same problems in the same order give the same plans. */
  public Plan solve(Problem problem) {
    flow = new Flow(problem, flow);
    plan = new SubsetSelector(problem, flow, plan).select();
    return plan;
  }
}
