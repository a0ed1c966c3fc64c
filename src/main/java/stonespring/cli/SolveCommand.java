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

/**
 * Replays a recorded load in virtual time and prints the weight solver's plan, with the reason for
 * the target of each endpoint.
 */
@Command(
    name = "solve",
    mixinStandardHelpOptions = true,
    description =
        "Replays a recorded load in virtual time and prints the weight solver's plan at one instant, with"
            + " the reason for the target of each endpoint.")
final class SolveCommand implements Callable<Integer> {
  @Parameters(paramLabel = "RECORDING", description = "The recorded load.")
  private Path file;

  @Option(
      names = "--at",
      paramLabel = "SECONDS",
      description =
          "Instant of the plan, in seconds since the start of the load (default: the end of the load).")
  private Double requestedSeconds; // null for the end of the load

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the random numbers (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(names = "--json", description = "Print the whole plan with all route tables as JSON.")
  private boolean json;

  @Override
  public Integer call() throws Exception {
    LoggingOptions.logWarningsOnly();
    Recording recording = InputFiles.readRecording("solve", file);
    double endSeconds = DeciMillis.toSeconds(recording.head().duration());
    if (requestedSeconds != null && !(requestedSeconds >= 0 && requestedSeconds <= endSeconds)) {
      throw CommandFailedException.usage(
          "solve: --at: expected 0 to " + endSeconds + " seconds, found " + requestedSeconds);
    }
    double atSeconds = requestedSeconds == null ? endSeconds : requestedSeconds;
    VirtualFleet fleet = new VirtualFleet(recording, Policy.SOLVER, seed);
    fleet.replayUntil((long) (atSeconds * DeciMillis.SECOND));
    Plan plan = fleet.plan().orElse(null);
    if (plan == null) {
      throw CommandFailedException.failed(
          "solve: no plan at "
              + atSeconds
              + " s: the solver makes its first plan after five rounds of reports");
    }
    PlanReport report = new PlanReport(recording.head().name(), atSeconds, plan);
    System.out.print(json ? report.toJson() : report.toTable());
    return ExitCode.OK;
  }
}
