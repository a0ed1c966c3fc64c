package stonespring.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The top-level command with its sub-commands. */
@Command(
    name = "stonespring",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.Version.class,
    description = "Directs the traffic of a fleet of sidecars.",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      ServeCommand.class,
      PlatformCommand.class,
      CheckCommand.class,
      SnapshotCommand.class,
      ScenarioCommand.class,
      SoakCommand.class,
      EndpointCommand.class,
      ProxyCommand.class,
      RegistryCommand.class,
      MeasureCommand.class,
      LoadCommand.class,
      SolveCommand.class,
      CompareCommand.class,
      SimHostCommand.class
    })
public final class Commands {
  private Commands() {}

  /** Provides the version from the manifest of the jar file. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Commands.class.getPackage().getImplementationVersion();
      return new String[] {"stonespring " + (version == null ? "(built from classes)" : version)};
    }
  }

  /** Runs the command that the arguments select and returns its exit code. */
  public static int run(String... args) {
    return createCommandLine().execute(args);
  }

  private static CommandLine createCommandLine() {
    CommandLine commandLine = new CommandLine(new Commands());
    commandLine.setCaseInsensitiveEnumValuesAllowed(true);
    commandLine.setExecutionExceptionHandler((e, command, result) -> handleException(e, command));
    for (CommandLine subcommand : commandLine.getSubcommands().values()) {
      subcommand.getCommandSpec().versionProvider(new Version());
    }
    return commandLine;
  }

  /**
   * Prints the exception of a command and returns the exit code. Prints a stack trace only if the
   * exception indicates a defect of the program.
   */
  private static int handleException(Exception e, CommandLine command) {
    if (e instanceof CommandFailedException failure) {
      return ExitCode.printError(failure.exitCode(), failure.getMessage());
    }
    if (e instanceof RuntimeException && !(e.getCause() instanceof IOException)) {
      e.printStackTrace();
    }
    String message = e.getMessage() == null ? e.toString() : e.getMessage();
    return ExitCode.printError(ExitCode.FAILED, command.getCommandName() + ": " + message);
  }
}
