package stonespring.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.model.DeciMillis;
import stonespring.recording.Recording;
import stonespring.solver.Plan;
import stonespring.testbed.virtual.Policy;
import stonespring.testbed.virtual.VirtualFleet;

/** Runs a recorded load in virtual time and explains the weight solver's plan. */
@Command(
    name = "solve",
    mixinStandardHelpOptions = true,
    description =
        "Plays a recorded load in virtual time and explains the weight solver's plan at a moment of it.")
final class SolveCommand implements Callable<Integer> {
  @Parameters(paramLabel = "RECORDING", description = "A recorded load.")
  private Path file;

  @Option(names = "--at", paramLabel = "SECONDS", description = "The moment (the load's end).")
  private Double at; // null for the end

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "What chance does (${DEFAULT-VALUE}).")
  private long seed;

  @Option(names = "--json", description = "The whole plan, with every table, as JSON.")
  private boolean asJson;

  @Override
  public Integer call() throws Exception {
    LoggingOptions.warningsOnly();
    Recording recording = InputFiles.readRecording("solve", file);
    double endSeconds = DeciMillis.toSeconds(recording.head().duration());
    if (at != null && !(at >= 0 && at <= endSeconds)) {
      throw CommandFailedException.usage("solve: --at is outside 0 to " + endSeconds);
    }
    double atSeconds = at == null ? endSeconds : at;
    VirtualFleet fleet = new VirtualFleet(recording, Policy.SOLVER, seed);
    fleet.playTo((long) (atSeconds * DeciMillis.SECOND));
    Plan plan = fleet.advisor().plan().orElse(null);
    if (plan == null) {
      throw CommandFailedException.failed(
          "solve: no plan yet at " + atSeconds + " s: the first comes after five rounds of sums");
    }
    String name = recording.head().name();
    System.out.print(asJson ? json(name, atSeconds, plan) : table(name, atSeconds, plan));
    return ExitCode.OK;
  }

  private static String json(String name, double atSeconds, Plan plan)
      throws JsonProcessingException {
    Map<String, Object> fields =
        Map.of("recording", name, "at_s", atSeconds, "plan", PlanJson.of(plan), "gap", plan.gap());
    return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(fields)
        + System.lineSeparator();
  }

  private static String table(String name, double atSeconds, Plan plan) {
    StringBuilder out = new StringBuilder();
    out.append(String.format("%s at %.1f s, simulated tasks%n", name, atSeconds));
    out.append(
        String.format(
            "ops lost a second %.2f, at least %.2f whatever is done (%.1f%% over); %.1f ops find no task%n",
            plan.cost(), plan.lowerBound(), 100 * plan.gap(), plan.unplacedRate()));
    out.append(
        String.format(
            "%d tables, %d new lines, %d lines changed%n%n",
            plan.tables().size(), plan.newRoutes(), plan.changedRoutes()));
    out.append(
        String.format(
            "%-24s %9s %8s %8s %6s %9s  %s%n",
            "task", "trusted", "gets", "target", "fill", "price", "why"));
    for (Plan.EndpointShare share : plan.shares()) {
      out.append(
          String.format(
              "%-24s %9.1f %8.1f %8.1f %5.0f%% %9.4f  %s%n",
              share.endpoint().name(),
              share.capacity(),
              share.load(),
              share.target(),
              100 * share.load() / share.capacity(),
              share.price(),
              PlanJson.word(share.reason()).toLowerCase(Locale.ROOT).replace('_', ' ')));
    }
    return out.toString();
  }
}
