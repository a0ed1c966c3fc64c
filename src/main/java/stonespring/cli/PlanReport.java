package stonespring.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Locale;
import java.util.Map;
import stonespring.solver.Plan;

/**
 * Formats a plan of the weight solver as a table or as JSON.
 *
 * @param recording name of the recorded load
 * @param atSeconds instant of the plan, in seconds since the start of the recording
 */
record PlanReport(String recording, double atSeconds, Plan plan) {
  String toJson() throws JsonProcessingException {
    Map<String, Object> fields =
        Map.of(
            "recording",
            recording,
            "at_s",
            atSeconds,
            "plan",
            PlanJson.of(plan),
            "gap",
            plan.optimalityGap());
    return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(fields)
        + System.lineSeparator();
  }

  String toTable() {
    StringBuilder out = new StringBuilder();
    out.append(String.format("%s at %.1f s, simulated tasks%n", recording, atSeconds));
    out.append(
        String.format(
            "ops lost a second %.2f, at least %.2f whatever is done (%.1f%% over); %.1f ops find no task%n",
            plan.cost(), plan.lowerBound(), 100 * plan.optimalityGap(), plan.unplacedRate()));
    out.append(
        String.format(
            "%d tables, %d new lines, %d lines changed%n%n",
            plan.tables().size(), plan.newRoutes(), plan.changedRoutes()));
    out.append(
        String.format(
            "%-24s %9s %8s %8s %6s %9s  %s%n",
            "task", "trusted", "gets", "target", "fill", "price", "why"));
    for (Plan.EndpointAllocation allocation : plan.allocations()) {
      out.append(formatRow(allocation));
    }
    return out.toString();
  }

  private static String formatRow(Plan.EndpointAllocation allocation) {
    return String.format(
        "%-24s %9.1f %8.1f %8.1f %5.0f%% %9.4f  %s%n",
        allocation.endpoint().name(),
        allocation.capacity(),
        allocation.load(),
        allocation.target(),
        100 * allocation.load() / allocation.capacity(),
        allocation.price(),
        PlanJson.reasonWord(allocation.reason()).toLowerCase(Locale.ROOT).replace('_', ' '));
  }
}
