package stonespring.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import stonespring.solver.Plan;

/**
 * Prints a plan of the weight solver as a table, or as JSON whose fields are stable whatever the
 * classes of the plan are called.
 *
 * @param recording the name of the load that the plan is for
 * @param atSeconds the time within the load
 */
record PlanReport(String recording, double atSeconds, Plan plan) {
  String toJson() throws JsonProcessingException {
    ObjectNode report = JsonNodeFactory.instance.objectNode();
    report.put("recording", recording);
    report.put("at_s", atSeconds);
    report.set("plan", planNode());
    report.put("gap", plan.gap());
    return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report)
        + System.lineSeparator();
  }

  private ObjectNode planNode() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ArrayNode tables = node.putArray("tables");
    for (Plan.Table table : plan.tables()) {
      addTable(tables.addObject(), table);
    }
    ArrayNode shares = node.putArray("shares");
    for (Plan.Share share : plan.shares()) {
      addShare(shares.addObject(), share);
    }
    node.put("cost", plan.cost());
    node.put("lowerBound", plan.lowerBound());
    node.put("unplaced", plan.unplaced());
    node.put("newLines", plan.newLines());
    node.put("changed", plan.changed());
    return node;
  }

  private static void addTable(ObjectNode node, Plan.Table table) {
    node.putObject("proxy").put("number", table.proxy().number());
    ArrayNode lines = node.putArray("lines");
    for (Plan.Line route : table.lines()) {
      ObjectNode line = lines.addObject();
      line.putObject("task").put("name", route.task().name());
      line.put("weight", route.weight());
      ArrayNode byRequestClass = line.putArray("byOpType");
      for (double weight : route.byOpType()) {
        byRequestClass.add(weight);
      }
    }
  }

  private static void addShare(ObjectNode node, Plan.Share share) {
    node.putObject("task").put("name", share.task().name());
    node.put("capacity", share.capacity());
    node.put("load", share.load());
    node.put("target", share.target());
    node.put("price", share.price());
    node.put("why", reason(share.why()));
    node.put("unmet", share.unmet());
  }

  String toTable() {
    StringBuilder out = new StringBuilder();
    out.append(String.format("%s at %.1f s, simulated tasks%n", recording, atSeconds));
    out.append(
        String.format(
            "ops lost a second %.2f, at least %.2f whatever is done (%.1f%% over); %.1f ops find no task%n",
            plan.cost(), plan.lowerBound(), 100 * plan.gap(), plan.unplaced()));
    out.append(
        String.format(
            "%d tables, %d new lines, %d lines changed%n%n",
            plan.tables().size(), plan.newLines(), plan.changed()));
    out.append(
        String.format(
            "%-24s %9s %8s %8s %6s %9s  %s%n",
            "task", "trusted", "gets", "target", "fill", "price", "why"));
    for (Plan.Share share : plan.shares()) {
      out.append(row(share));
    }
    return out.toString();
  }

  private static String row(Plan.Share share) {
    return String.format(
        "%-24s %9.1f %8.1f %8.1f %5.0f%% %9.4f  %s%n",
        share.task().name(),
        share.capacity(),
        share.load(),
        share.target(),
        100 * share.load() / share.capacity(),
        share.price(),
        reason(share.why()).toLowerCase(Locale.ROOT).replace('_', ' '));
  }

  /** The printed name of a reason. */
  private static String reason(Plan.Reason reason) {
    return switch (reason) {
      case BALANCED -> "BALANCED";
      case COLD_CAP -> "COLD_CAP";
      case UNFIT -> "UNFIT";
      case FEW_LINES -> "FEW_LINES";
    };
  }
}
