package stonespring.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import stonespring.testbed.StandIns;

/** Runs stand-in endpoints. */
@Command(
    name = "task",
    mixinStandardHelpOptions = true,
    description =
        "Runs stand-in tasks: POST /op/TYPE with headers x-op and x-try, a load report in each answer.")
final class EndpointCommand implements Callable<Integer> {
  @Option(
      names = "--port",
      defaultValue = "9101",
      description = "The first one's port, the others follow (${DEFAULT-VALUE}).")
  private int port;

  @Option(
      names = "--count",
      defaultValue = "1",
      description = "How many, named m1, m2 and so on (${DEFAULT-VALUE}).")
  private int count;

  @Option(
      names = "--zone",
      split = ",",
      defaultValue = "west",
      description = "Their zones, by turns (${DEFAULT-VALUE}).")
  private List<String> zones;

  @Option(names = "--cores", defaultValue = "2", description = "Cores (${DEFAULT-VALUE}).")
  private int cores;

  @Option(
      names = "--work-ms",
      defaultValue = "20",
      description = "Mean work of an op (${DEFAULT-VALUE}).")
  private double workMillis;

  @Option(names = "--cold", description = "It starts cold, and warms within 10 s.")
  private boolean warmingUp;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    if (count < 1 || port < 1 || port + count > 65536) {
      throw CommandFailedException.usage("--port and --count do not fit 1 to 65535");
    }
    for (int i = 0; i < count; i++) {
      System.out.println(
          "task "
              + StandIns.startEndpoint(
                  "m" + (i + 1),
                  zones.get(i % zones.size()),
                  port + i,
                  cores,
                  workMillis,
                  warmingUp));
    }
    return ForegroundProcess.runUntilKilled();
  }
}
