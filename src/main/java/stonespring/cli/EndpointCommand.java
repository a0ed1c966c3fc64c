package stonespring.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import stonespring.testbed.StandIns;

/** Runs simulated endpoints for manual testing. */
@Command(
    name = "task",
    mixinStandardHelpOptions = true,
    description =
        "Runs simulated endpoints, which serve POST /op/TYPE with the headers x-op and x-try and send a load"
            + " report with each response.")
final class EndpointCommand implements Callable<Integer> {
  @Option(
      names = "--port",
      defaultValue = "9101",
      description =
          "Port of the first endpoint; the others use the ports above it (default: ${DEFAULT-VALUE}).")
  private int port;

  @Option(
      names = "--count",
      defaultValue = "1",
      description =
          "Number of endpoints, which are named m1, m2 and so on (default: ${DEFAULT-VALUE}).")
  private int count;

  @Option(
      names = "--zone",
      split = ",",
      defaultValue = "west",
      description = "Zones of the endpoints, assigned in turn (default: ${DEFAULT-VALUE}).")
  private List<String> zones;

  @Option(
      names = "--cores",
      defaultValue = "2",
      description = "Cores of each endpoint (default: ${DEFAULT-VALUE}).")
  private int cores;

  @Option(
      names = "--work-ms",
      defaultValue = "20",
      description = "Mean service time of a request, in milliseconds (default: ${DEFAULT-VALUE}).")
  private double workMillis;

  @Option(names = "--cold", description = "The endpoints start cold and warm up within 10 s.")
  private boolean warmingUp;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    if (count < 1 || port < 1 || port + count > 65536) {
      throw CommandFailedException.usage(
          "task: expected --count of at least 1 and all ports from 1 to 65535, found --port "
              + port
              + " and --count "
              + count);
    }
    ClassPreloader.preload();
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
