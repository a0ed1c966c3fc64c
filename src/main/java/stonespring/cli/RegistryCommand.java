package stonespring.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.testbed.StandIns;

/** Runs a stand-in registry of endpoints. */
@Command(
    name = "registry",
    mixinStandardHelpOptions = true,
    description =
        "Runs a stand-in registry with blocking queries at"
            + " /v1/health/service/tasks; its tasks come from a file that is looked at again and again.")
final class RegistryCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The list of tasks, as an assigner would read it.")
  private Path file;

  @Option(names = "--port", defaultValue = "7480", description = "Its port (${DEFAULT-VALUE}).")
  private int port;

  @Option(
      names = "--zones",
      split = ",",
      required = true,
      description = "The zones that the list may name.")
  private List<String> zones;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    System.out.println("registry " + StandIns.startRegistry(file, zones, port));
    return ForegroundProcess.runUntilKilled();
  }
}
