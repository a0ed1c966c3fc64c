package stonespring.solver;

/**
 * Keeps the last plan and flow, so that a small change of the fleet costs little work and changes
 * few lines.
 */
public final class Solver {
  private Flow flow;
  private Plan plan;

  /** The plan for a moment; the same moments in the same order give the same plans. */
  public Plan solve(Problem problem) {
    flow = new Flow(problem, flow);
    plan = SubsetSelector.plan(problem, flow, plan);
    return plan;
  }
}
