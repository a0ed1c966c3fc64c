package stonespring.cli;

import java.nio.file.Path;
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
  private boolean json;

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
    fleet.replayUntil((long) (atSeconds * DeciMillis.SECOND));
    Plan plan = fleet.plan().orElse(null);
    if (plan == null) {
      throw CommandFailedException.failed(
          "solve: no plan yet at " + atSeconds + " s: the first comes after five rounds of sums");
    }
    PlanReport report = new PlanReport(recording.head().name(), atSeconds, plan);
    System.out.print(json ? report.toJson() : report.toTable());
    return ExitCode.OK;
  }
}
