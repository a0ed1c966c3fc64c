package stonespring.solver;

/**
 * Turns the optimal flow into small route tables (subsets of the endpoints). Existing routes are
 * kept and their weights scaled ({@link ProportionalFitter}). A route is added ({@link RouteAdder})
 * only where scaling cannot reach an endpoint's target and the gain exceeds the cost of a
 * connection.
 */
final class SubsetSelector {
  /**
   * Share of an endpoint's capacity below which a difference in load is within the error of the
   * reported rates.
   */
  static final double MEASUREMENT_ERROR_SHARE = 0.02;

  /** Maximum number of rounds of adding routes and scaling when there is no previous plan. */
  private static final int MAX_INITIAL_ROUNDS = 10;

  /**
   * Maximum number of rounds of adding routes and scaling when there is a previous plan; the next
   * plan continues.
   */
  private static final int MAX_FOLLOW_UP_ROUNDS = 2;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;

  /**
   * By endpoint, the number of consecutive plans in which it lacked routes; see {@link
   * Plan.EndpointAllocation}.
   */
  private final int[] plansBelowTarget;

  private final int maxRounds;

  /**
   * Creates a selector for one plan.
   *
   * @param previous the previous plan, or null if there is none
   */
  SubsetSelector(Problem problem, Flow flow, Plan previous) {
    this.problem = problem;
    this.flow = flow;
    this.tables = new WorkingTables(problem);
    this.plansBelowTarget = new int[problem.endpointCount()];
    this.maxRounds = previous == null ? MAX_INITIAL_ROUNDS : MAX_FOLLOW_UP_ROUNDS;
    if (previous != null) {
      copyPlansBelowTarget(previous);
    }
  }

  private void copyPlansBelowTarget(Plan previous) {
    for (Plan.EndpointAllocation allocation : previous.allocations()) {
      int endpoint = problem.indexOf(allocation.endpoint());
      if (endpoint != Problem.NOT_FOUND) {
        plansBelowTarget[endpoint] = allocation.plansBelowTarget();
      }
    }
  }

  Plan select() {
    if (problem.endpointCount() > 0) {
      selectRoutes();
    }
    return new PlanBuilder(problem, flow, tables, plansBelowTarget).build();
  }

  private void selectRoutes() {
    ProportionalFitter fitter = new ProportionalFitter(problem, flow, tables);
    RouteAdder adder = new RouteAdder(problem, flow, tables, plansBelowTarget);
    RouteDropper dropper = new RouteDropper(problem, tables);
    tables.loadCurrentRoutes();
    new RendezvousSelector(problem, flow, tables).selectMissingRoutes();
    boolean added = true;
    for (int round = 0; added && round < maxRounds; round++) {
      fitter.fitRates();
      dropper.dropRoutes();
      added = adder.addRoutes();
    }
    fitter.fitRates();
    dropper.dropRoutes();
    new ChangeDamper(problem, flow, tables).dampChanges();
    new WarmUpCap(problem, tables).enforce();
  }
}
