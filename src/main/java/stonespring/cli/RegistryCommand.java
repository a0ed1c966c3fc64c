package stonespring.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.testbed.StandIns;

/** Runs a simulated endpoint registry for manual testing. */
@Command(
    name = "registry",
    mixinStandardHelpOptions = true,
    description =
        "Runs a simulated registry with blocking queries at"
            + " /v1/health/service/tasks; its endpoints come from a file that is polled for changes.")
final class RegistryCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "FILE",
      description = "Endpoint list, in the format that instances read.")
  private Path file;

  @Option(
      names = "--port",
      defaultValue = "7480",
      description = "Port of the registry (default: ${DEFAULT-VALUE}).")
  private int port;

  @Option(
      names = "--zones",
      split = ",",
      required = true,
      description = "Zones that may occur in the endpoint list.")
  private List<String> zones;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    ClassPreloader.preload();
    System.out.println("registry " + StandIns.startRegistry(file, zones, port));
    return ForegroundProcess.runUntilKilled();
  }
}
