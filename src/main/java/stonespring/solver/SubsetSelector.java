package stonespring.solver;

/**
 * Turns the flow into small tables. Routes that stand are kept and their weights scaled ({@link
 * ProportionalFitter}); only where that can't reach an endpoint's target, and the gain pays for a
 * connection, a route is added ({@link RouteAdder}).
 */
final class SubsetSelector {
  /** Share of an endpoint's capacity below which a difference is within the error of reports. */
  static final double MEASUREMENT_ERROR_SHARE = 0.02;

  /** Rounds of new routes and scaling, from nothing. */
  private static final int MAX_INITIAL_ROUNDS = 10;

  /** The same where tables stand; what is left waits for the next plan. */
  private static final int MAX_FOLLOW_UP_ROUNDS = 2;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;
  private final int[] plansBelowTarget;
  private final int maxRounds;

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
