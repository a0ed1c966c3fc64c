package stonespring.cli;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.solver.Plan;

/**
 * A plan of the weight solver in the form that {@code solve --json} prints. The names of the
 * components and their order are part of the output format.
 */
record PlanJson(
    List<Table> tables,
    List<Share> shares,
    double cost,
    double lowerBound,
    double unplaced,
    int newLines,
    int changed) {

  record Table(ProxyId proxy, List<Line> lines) {}

  record Line(EndpointId task, double weight, double[] byOpType) {}

  record Share(
      EndpointId task,
      double capacity,
      double load,
      double target,
      double price,
      String why,
      int unmet) {}

  static PlanJson of(Plan plan) {
    return new PlanJson(
        plan.tables().stream().map(PlanJson::table).toList(),
        plan.allocations().stream().map(PlanJson::share).toList(),
        plan.cost(),
        plan.lowerBound(),
        plan.unplacedRate(),
        plan.newRoutes(),
        plan.changedRoutes());
  }

  /** Returns the name of a reason in the output. */
  static String reasonWord(Plan.Reason reason) {
    return switch (reason) {
      case BALANCED -> "BALANCED";
      case WARM_UP_CAP -> "COLD_CAP";
      case FAILING -> "UNFIT";
      case FEW_ROUTES -> "FEW_LINES";
    };
  }

  private static Table table(Plan.Table table) {
    return new Table(
        table.proxy(),
        table.routes().stream()
            .map(route -> new Line(route.endpoint(), route.weight(), route.weightsByClass()))
            .toList());
  }

  private static Share share(Plan.EndpointAllocation share) {
    return new Share(
        share.endpoint(),
        share.capacity(),
        share.load(),
        share.target(),
        share.price(),
        reasonWord(share.reason()),
        share.plansBelowTarget());
  }
}
