package stonespring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import stonespring.config.InvalidConfigException;
import stonespring.config.PlatformConfig;
import stonespring.daemon.ConfigReloader;
import stonespring.daemon.PlatformDaemon;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Runs an instance on the operators' platform; SIGHUP reloads its configuration. */
@Command(
    name = "assigner",
    mixinStandardHelpOptions = true,
    description = "Runs an instance on the operators' platform until it is stopped.")
final class PlatformCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformCommand.class);

  @Parameters(
      paramLabel = "FILE",
      defaultValue = "${env:NODE_CONFIG}",
      description =
          "Configuration file of the platform (default: the file that NODE_CONFIG names).")
  private Path configFile;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    // The SIGHUP handler is installed first: without a handler, the signal would end the process.
    ConfigReloader reloader = new ConfigReloader(configFile);
    SignalHandler previousHandler = Signal.handle(new Signal("HUP"), signal -> reloader.reload());
    logging.apply();
    if (configFile == null || configFile.toString().isEmpty()) {
      throw CommandFailedException.usage(
          "assigner: expected a configuration file as argument FILE or in NODE_CONFIG, found neither");
    }
    PlatformConfig config = readConfig();
    if (previousHandler == SignalHandler.SIG_IGN) {
      // The parent process, for example nohup, ignores SIGHUP; the JVM then calls no handler.
      LOG.warn(
          "SIGHUP is ignored, as inherited from the parent process: a changed configuration is read only"
              + " after a fetch of the endpoint list fails");
    }
    ClassPreloader.preload();
    PlatformDaemon daemon = new PlatformDaemon(config);
    daemon.start();
    reloader.attach(daemon);
    return ForegroundProcess.runUntilStopped("assigner", daemon);
  }

  private PlatformConfig readConfig() throws CommandFailedException {
    try {
      return PlatformConfig.read(configFile);
    } catch (InvalidConfigException e) {
      throw CommandFailedException.usage(e.getMessage(), e);
    }
  }
}
