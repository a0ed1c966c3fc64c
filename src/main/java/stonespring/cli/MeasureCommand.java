package stonespring.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.testbed.FleetMeasurement;
import stonespring.testbed.ScenarioRun;
import stonespring.testbed.SolverTrial;
import stonespring.testbed.ThroughputMeasurement;

/** Measures the performance of parts of the program; each method is a sub-command. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Measures the performance of the program on this machine.")
final class MeasureCommand {
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "Measures an instance with a fleet of idle proxies: time until all hold a route table, decision"
              + " latency, time from commands to acknowledgements, memory.")
  int fleet(
      @Parameters(paramLabel = "FILE", description = "Settings script of the instance.") Path file,
      @Option(
              names = "--proxies",
              defaultValue = "24",
              description = "Number of proxies (default: ${DEFAULT-VALUE}).")
          int proxies,
      @Option(
              names = "--within-ms",
              defaultValue = "1000",
              description =
                  "Time in milliseconds within which all proxies connect (default: ${DEFAULT-VALUE}).")
          long withinMillis,
      @Option(
              names = "--seconds",
              defaultValue = "20",
              description =
                  "Seconds to continue once all proxies hold a route table (default: ${DEFAULT-VALUE}).")
          long seconds)
      throws Exception {
    System.out.print(
        FleetMeasurement.run(
            file, proxies, withinMillis, seconds, ScenarioRun.createTemporaryFolder()));
    System.exit(ExitCode.OK); // proxies that reconnect would keep the process running
    return ExitCode.OK;
  }

  @Command(
      name = "throughput",
      mixinStandardHelpOptions = true,
      description =
          "Measures the updates published per second, alternating with plain Netty that writes the same"
              + " bytes.")
  int throughput(
      @Option(
              names = "--updates",
              defaultValue = "500000",
              description = "Updates per round (default: ${DEFAULT-VALUE}).")
          int updates,
      @Option(
              names = "--rounds",
              defaultValue = "7",
              description = "Number of rounds (default: ${DEFAULT-VALUE}).")
          int rounds)
      throws Exception {
    System.out.print(ThroughputMeasurement.run(updates, rounds));
    return ExitCode.OK;
  }

  @Command(
      name = "solver",
      mixinStandardHelpOptions = true,
      description =
          "Measures the weight solver alone: alternating solves from scratch and after small changes, and the"
              + " distance from the lower bound.")
  int solver(
      @Option(
              names = "--tasks",
              defaultValue = "800",
              description = "Number of endpoints (default: ${DEFAULT-VALUE}).")
          int endpoints,
      @Option(
              names = "--proxies",
              defaultValue = "800",
              description = "Number of proxies (default: ${DEFAULT-VALUE}).")
          int proxies,
      @Option(
              names = "--rounds",
              defaultValue = "20",
              description = "Number of rounds (default: ${DEFAULT-VALUE}).")
          int rounds)
      throws CommandFailedException {
    if (endpoints < 1 || proxies < 1 || rounds < 1) {
      throw CommandFailedException.usage(
          "measure solver: expected --tasks, --proxies and --rounds of at least 1, found "
              + endpoints
              + ", "
              + proxies
              + " and "
              + rounds);
    }
    System.out.print(SolverTrial.run(endpoints, proxies, rounds));
    return ExitCode.OK;
  }
}
