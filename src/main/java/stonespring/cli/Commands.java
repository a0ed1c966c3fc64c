package stonespring.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program with its sub-commands. */
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

  /** The version in the jar's manifest. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Commands.class.getPackage().getImplementationVersion();
      return new String[] {"stonespring " + (version == null ? "(built from classes)" : version)};
    }
  }

  /** Runs the command that the arguments name; returns its exit code. */
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

  /** Prints what a command threw, with a stack trace if it hints at a defect. */
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
