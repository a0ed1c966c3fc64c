package stonespring.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.model.DeciMillis;
import stonespring.recording.InvalidRecordingException;
import stonespring.recording.Recording;
import stonespring.recording.RecordingFile;
import stonespring.solver.Plan;
import stonespring.testbed.virtual.Policy;
import stonespring.testbed.virtual.VirtualFleet;

@Command(
    name = "solve",
    mixinStandardHelpOptions = true,
    description =
        "Plays a recorded load in virtual time and explains the weight solver's plan at a moment of it.")
final class SolveCommand implements Callable<Integer> {
  @Parameters(paramLabel = "RECORDING", description = "A recorded load.")
  private Path file;

  @Option(names = "--at", paramLabel = "SECONDS", description = "The moment (the load's end).")
  private Double at;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "What chance does (${DEFAULT-VALUE}).")
  private long seed;

  @Option(names = "--json", description = "The whole plan, with every table, as JSON.")
  private boolean json;

  @Override
  public Integer call() throws Exception {
    Logs.warningsOnly();
    Recording recording;
    try {
      recording = RecordingFile.read(file);
    } catch (InvalidRecordingException e) {
      return Exit.fail(Exit.USAGE, "solve: " + e.getMessage());
    }
    double end = recording.head().duration() / (double) DeciMillis.SECOND;
    if (at != null && !(at >= 0 && at <= end)) {
      return Exit.fail(Exit.USAGE, "solve: --at is outside 0 to " + end);
    }
    double moment = at == null ? end : at;
    VirtualFleet fleet = new VirtualFleet(recording, Policy.SOLVER, seed);
    fleet.playTo((long) (moment * DeciMillis.SECOND));
    Plan plan = fleet.advisor().plan();
    if (plan == null) {
      return Exit.fail(
          Exit.FAILED,
          "solve: no plan yet at " + moment + " s: the first comes after five rounds of sums");
    }
    if (json) {
      System.out.println(
          new ObjectMapper()
              .writerWithDefaultPrettyPrinter()
              .writeValueAsString(
                  Map.of(
                      "recording",
                      recording.head().name(),
                      "at_s",
                      moment,
                      "plan",
                      plan,
                      "gap",
                      plan.gap())));
    } else {
      System.out.print(text(recording.head().name(), moment, plan));
    }
    return Exit.GOOD;
  }

  private static String text(String name, double moment, Plan plan) {
    StringBuilder out = new StringBuilder();
    out.append(String.format("%s at %.1f s, simulated tasks%n", name, moment));
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
    for (Plan.Share s : plan.shares()) {
      out.append(
          String.format(
              "%-24s %9.1f %8.1f %8.1f %5.0f%% %9.4f  %s%n",
              s.task().name(),
              s.capacity(),
              s.load(),
              s.target(),
              100 * s.load() / s.capacity(),
              s.price(),
              s.why().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')));
    }
    return out.toString();
  }
}
