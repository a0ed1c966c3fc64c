package stonespring.solver;

/**
 * Turns the flow into small tables. Routes that stand are kept and their weights scaled ({@link
 * ProportionalFitter}); only where that can't reach an endpoint's target, and the gain pays for a
 * connection, a route is added ({@link RouteAdder}).
 */
final class SubsetSelector {
  /** Share of an endpoint's capacity below which a difference is within the error of reports. */
  static final double SIGNIFICANT_SHARE = 0.02;

  /** Rounds of new routes and scaling, from nothing. */
  private static final int INITIAL_ROUNDS = 10;

  /** The same where tables stand; what is left waits for the next plan. */
  private static final int FOLLOWING_ROUNDS = 2;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;
  private final int[] plansBelowTarget;
  private final int rounds;

  /**
   * Prepares a plan.
   *
   * @param previous the last plan, or null
   */
  SubsetSelector(Problem problem, Flow flow, Plan previous) {
    this.problem = problem;
    this.flow = flow;
    this.tables = new WorkingTables(problem);
    this.plansBelowTarget = new int[problem.endpointCount()];
    this.rounds = previous == null ? INITIAL_ROUNDS : FOLLOWING_ROUNDS;
    if (previous != null) {
      copyPlansBelowTarget(previous);
    }
  }

  private void copyPlansBelowTarget(Plan previous) {
    for (Plan.EndpointAllocation allocation : previous.allocations()) {
      int endpoint = problem.indexOf(allocation.endpoint());
      if (endpoint != Problem.UNKNOWN) {
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
    tables.takeOverHeldRoutes();
    new RendezvousSelector(problem, flow, tables).draw();
    boolean added = true;
    for (int round = 0; added && round < rounds; round++) {
      fitter.fit();
      dropper.drop();
      added = adder.addRoutes();
    }
    fitter.fit();
    dropper.drop();
    new ChangeDamper(problem, flow, tables).damp();
    new WarmUpCap(problem, tables).apply();
  }
}
