package stonespring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import stonespring.config.InstanceSettings;
import stonespring.config.script.ScriptException;

/** Validates a settings script and prints all its errors. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Validates a settings script and prints all its errors.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The settings script.")
  private Path file;

  @Override
  public Integer call() {
    try {
      InstanceSettings settings = InstanceSettings.read(file);
      System.out.println(
          file
              + ": valid; "
              + settings.zones().size()
              + " zones, "
              + settings.requestClasses().names().size()
              + " request classes, ports "
              + settings.listen().port()
              + " to "
              + (settings.listen().port() + 2));
      return ExitCode.OK;
    } catch (ScriptException e) {
      e.errors().forEach(System.err::println);
      return ExitCode.USAGE;
    }
  }
}
