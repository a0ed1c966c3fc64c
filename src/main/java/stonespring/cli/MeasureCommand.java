package stonespring.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.testbed.FleetMeasurement;
import stonespring.testbed.ScenarioRun;
import stonespring.testbed.SolverTrial;
import stonespring.testbed.ThroughputMeasurement;

/** Measures parts of the program; a method for each. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Measures the program on this machine.")
final class MeasureCommand {
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "Decision latency, orders to answers, joining and memory with a fleet of idle proxies.")
  int fleet(
      @Parameters(paramLabel = "FILE", description = "The assigner's settings script.") Path file,
      @Option(
              names = "--proxies",
              defaultValue = "24",
              description = "How many (${DEFAULT-VALUE}).")
          int proxies,
      @Option(
              names = "--within-ms",
              defaultValue = "1000",
              description = "All dial within (${DEFAULT-VALUE}).")
          long withinMillis,
      @Option(
              names = "--seconds",
              defaultValue = "20",
              description = "Go on for (${DEFAULT-VALUE}).")
          long seconds)
      throws Exception {
    System.out.print(
        FleetMeasurement.run(
            file, proxies, withinMillis, seconds, ScenarioRun.createTemporaryFolder()));
    System.exit(ExitCode.OK); // the idle proxies reconnect and would keep the process running
    return ExitCode.OK;
  }

  @Command(
      name = "throughput",
      mixinStandardHelpOptions = true,
      description =
          "Updates published a second, beside bare Netty writing the same bytes, by turns in one run.")
  int throughput(
      @Option(
              names = "--updates",
              defaultValue = "500000",
              description = "A round (${DEFAULT-VALUE}).")
          int updates,
      @Option(names = "--rounds", defaultValue = "7", description = "Rounds (${DEFAULT-VALUE}).")
          int rounds)
      throws Exception {
    System.out.print(ThroughputMeasurement.run(updates, rounds));
    return ExitCode.OK;
  }

  @Command(
      name = "solver",
      mixinStandardHelpOptions = true,
      description =
          "The weight solver by itself: whole solves and small changes by turns, and the distance from the bound.")
  int solver(
      @Option(names = "--tasks", defaultValue = "800", description = "How many (${DEFAULT-VALUE}).")
          int endpoints,
      @Option(
              names = "--proxies",
              defaultValue = "800",
              description = "How many (${DEFAULT-VALUE}).")
          int proxies,
      @Option(names = "--rounds", defaultValue = "20", description = "Rounds (${DEFAULT-VALUE}).")
          int rounds)
      throws CommandFailedException {
    if (endpoints < 1 || proxies < 1 || rounds < 1) {
      throw CommandFailedException.usage("--tasks, --proxies and --rounds are at least 1");
    }
    System.out.print(SolverTrial.run(endpoints, proxies, rounds));
    return ExitCode.OK;
  }
}
