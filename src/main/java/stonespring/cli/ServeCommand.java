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
    description = "Runs an instance that serves proxies over CHP until it is stopped.")
final class ServeCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The settings script.")
  private Path file;

  @Option(
      names = "--port",
      description =
          "Port for snapshots; overrides the port in the script. 0 selects three consecutive free ports.")
  private Integer port;

  @Option(
      names = "--registry-port",
      description = "Port of the registry; overrides the port in the script.")
  private Integer registryPort;

  @Option(
      names = "--saved-list",
      paramLabel = "PATH",
      description = "File for the last known endpoint list; overrides the file in the script.")
  private Path savedList;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    InstanceSettings settings = withOptions(InputFiles.readSettings(file));
    ClassPreloader.preload();
    ChpDaemon daemon = new ChpDaemon(settings);
    daemon.start();
    System.out.println("serving " + settings.listen().host() + " " + daemon.port());
    System.out.flush();
    return ForegroundProcess.runUntilStopped("serve", daemon);
  }

  private InstanceSettings withOptions(InstanceSettings script) throws CommandFailedException {
    try {
      return script.withOverrides(port, registryPort, savedList);
    } catch (IllegalArgumentException e) {
      throw CommandFailedException.usage(e.getMessage(), e);
    }
  }
}
