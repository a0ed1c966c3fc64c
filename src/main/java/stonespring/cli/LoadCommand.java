package stonespring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.recording.RecordingFile;
import stonespring.testbed.virtual.Loads;

@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = "Draws a load with one kind of trouble and writes it.")
final class LoadCommand implements Callable<Integer> {
  @Parameters(paramLabel = "KIND", description = "One of ${COMPLETION-CANDIDATES}.")
  private Loads.Kind kind;

  @Parameters(paramLabel = "FILE", description = "Where the recording goes.")
  private Path file;

  @Option(names = "--seed", defaultValue = "1", description = "What is drawn (${DEFAULT-VALUE}).")
  private long seed;

  @Option(names = "--tasks", defaultValue = "24", description = "How many (${DEFAULT-VALUE}).")
  private int tasks;

  @Option(names = "--proxies", defaultValue = "24", description = "How many (${DEFAULT-VALUE}).")
  private int proxies;

  @Override
  public Integer call() throws Exception {
    if (tasks < 3 || proxies < 1 || tasks > 2_000 || proxies > 2_000) {
      return ExitCode.fail(
          ExitCode.USAGE, "load: --tasks from 3 to 2000, --proxies from 1 to 2000");
    }
    RecordingFile.write(Loads.draw(kind, seed, tasks, proxies), file);
    return ExitCode.OK;
  }
}
