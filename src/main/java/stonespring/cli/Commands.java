package stonespring.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line: one program, its parts by name. */
@Command(
    name = "stonespring",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.Version.class,
    description = "Directs the traffic of a fleet of sidecars.",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      ServeCommand.class,
      AssignerCommand.class,
      CheckCommand.class,
      SnapshotCommand.class,
      DayCommand.class,
      TaskCommand.class,
      ProxyCommand.class,
      RegistryCommand.class,
      MeasureCommand.class,
      LoadCommand.class,
      SolveCommand.class,
      CompareCommand.class,
      SimHostCommand.class
    })
public final class Commands {
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Commands.class.getPackage().getImplementationVersion();
      return new String[] {"stonespring " + (version == null ? "(built from classes)" : version)};
    }
  }

  private Commands() {}

  /** Runs one command; returns the exit code. */
  public static int run(String... args) {
    return line().execute(args);
  }

  static CommandLine line() {
    CommandLine line = new CommandLine(new Commands()).setCaseInsensitiveEnumValuesAllowed(true);
    line.setExecutionExceptionHandler(
        (e, command, result) -> {
          if (e instanceof RuntimeException && !(e.getCause() instanceof java.io.IOException)) {
            e.printStackTrace();
          }
          return ExitCode.fail(
              ExitCode.FAILED,
              command.getCommandName()
                  + ": "
                  + (e.getMessage() == null ? e.toString() : e.getMessage()));
        });
    line.getSubcommands()
        .values()
        .forEach(sub -> sub.getCommandSpec().versionProvider(new Version()));
    return line;
  }
}
