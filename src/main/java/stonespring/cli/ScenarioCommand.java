package stonespring.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.config.script.ScriptException;
import stonespring.recording.RecordingFile;
import stonespring.testbed.InvariantChecker;
import stonespring.testbed.Scenario;
import stonespring.testbed.ScenarioFailedException;
import stonespring.testbed.ScenarioReport;
import stonespring.testbed.ScenarioRun;

/** Runs a scenario with simulated peers on the loopback interface and checks its invariants. */
@Command(
    name = "day",
    aliases = "scenario",
    mixinStandardHelpOptions = true,
    description =
        "Runs a scripted scenario with simulated peers on the loopback interface and checks the five"
            + " invariants by the traffic on its sockets.")
final class ScenarioCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The scenario script.")
  private Path file;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description =
          "Seed of the random numbers; also selects the targets of faults (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--keep",
      paramLabel = "FOLDER",
      description = "Folder for the logs of the instances (default: a temporary folder).")
  private Path logFolder;

  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "Recording to write the load to, for solve and compare.")
  private Path recordingFile;

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    Scenario scenario = readScenario();
    Path folder =
        logFolder == null
            ? ScenarioRun.createTemporaryFolder()
            : Files.createDirectories(logFolder);
    try {
      ScenarioRun run = new ScenarioRun(scenario, file, seed, folder);
      InvariantChecker.Verdict verdict = run.run();
      if (recordingFile != null) {
        RecordingFile.write(run.recording(recordingName()), recordingFile);
      }
      System.out.printf("seed %d: ", seed);
      System.out.print(ScenarioReport.format(verdict));
      return verdict.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    } catch (ScenarioFailedException e) {
      throw CommandFailedException.failed(
          e.getMessage() + "; the logs of the instances are in " + folder, e);
    }
  }

  private Scenario readScenario() throws CommandFailedException {
    try {
      return Scenario.read(file);
    } catch (ScriptException e) {
      throw CommandFailedException.usage("day:\n" + e.getMessage(), e);
    }
  }

  private String recordingName() {
    String scenarioName = file.getFileName().toString().replaceAll("\\.[a-z]+$", "");
    return scenarioName + "-" + seed;
  }
}
