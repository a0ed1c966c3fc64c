package stonespring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.config.InstanceSettings;
import stonespring.daemon.ChpDaemon;

/** Runs an instance that serves proxies over CHP. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Runs an assigner until it is told to stop.")
final class ServeCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The settings script.")
  private Path file;

  @Option(
      names = "--port",
      description = "Snapshot port, instead of the script's; 0 takes three free ones.")
  private Integer port;

  @Option(names = "--registry-port", description = "The registry's port, instead of the script's.")
  private Integer registryPort;

  @Option(
      names = "--saved-list",
      paramLabel = "PATH",
      description = "Where the last list is kept, instead of the script's.")
  private Path savedList;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    InstanceSettings settings = withOptions(InputFiles.readSettings(file));
    ChpDaemon daemon = new ChpDaemon(settings);
    daemon.start();
    System.out.println("serving " + settings.listen().host() + " " + daemon.port());
    System.out.flush();
    return ForegroundProcess.runUntilStopped("serve", daemon);
  }

  private InstanceSettings withOptions(InstanceSettings script) throws CommandFailedException {
    try {
      return script.with(port, registryPort, savedList);
    } catch (IllegalArgumentException e) {
      throw CommandFailedException.usage(e.getMessage(), e);
    }
  }
}
