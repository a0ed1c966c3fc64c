package stonespring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.recording.RecordingFile;
import stonespring.testbed.virtual.LoadGenerator;

/** Generates a load and writes it as a recording. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = "Generates a load with one kind of disturbance and writes it as a recording.")
final class LoadCommand implements Callable<Integer> {
  private static final int MIN_ENDPOINTS = 3;

  /** Maximum number of endpoints and of proxies. */
  private static final int MAX_COUNT = 2_000;

  @Parameters(
      paramLabel = "KIND",
      description = "Kind of disturbance, one of ${COMPLETION-CANDIDATES}.")
  private LoadGenerator.Kind kind;

  @Parameters(paramLabel = "FILE", description = "The recording to write.")
  private Path file;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the random numbers (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--tasks",
      defaultValue = "24",
      description = "Number of endpoints (default: ${DEFAULT-VALUE}).")
  private int endpoints;

  @Option(
      names = "--proxies",
      defaultValue = "24",
      description = "Number of proxies (default: ${DEFAULT-VALUE}).")
  private int proxies;

  @Override
  public Integer call() throws Exception {
    if (endpoints < MIN_ENDPOINTS || endpoints > MAX_COUNT || proxies < 1 || proxies > MAX_COUNT) {
      throw CommandFailedException.usage(
          "load: expected --tasks from 3 to 2000 and --proxies from 1 to 2000, found --tasks "
              + endpoints
              + " and --proxies "
              + proxies);
    }
    RecordingFile.write(LoadGenerator.generate(kind, seed, endpoints, proxies), file);
    return ExitCode.OK;
  }
}
