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
import stonespring.testbed.ScenarioRun;

@Command(
    name = "day",
    mixinStandardHelpOptions = true,
    description =
        "Plays a scripted day on loopback with stand-ins and judges the five rules by what crossed the sockets.")
final class DayCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The day's script.")
  private Path file;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Who is struck, what is drawn (${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--keep",
      paramLabel = "FOLDER",
      description = "Where logs of the assigners are kept (a temporary folder).")
  private Path keep;

  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "Writes the load as it came, for solve and compare.")
  private Path record;

  @Mixin private Logs logs;

  @Override
  public Integer call() throws Exception {
    logs.set();
    Scenario day;
    try {
      day = Scenario.read(file);
    } catch (ScriptException e) {
      return Exit.fail(Exit.USAGE, "day:\n" + e.getMessage());
    }
    Path folder = keep == null ? ScenarioRun.folder() : Files.createDirectories(keep);
    try {
      ScenarioRun run = new ScenarioRun(day, file, seed, folder);
      InvariantChecker.Verdict verdict = run.run();
      if (record != null) {
        RecordingFile.write(
            run.recording(file.getFileName().toString().replaceAll("\\.[a-z]+$", "") + "-" + seed),
            record);
      }
      System.out.printf("seed %d: ", seed);
      System.out.print(ScenarioRun.report(verdict));
      return verdict.broken().isEmpty() ? Exit.GOOD : Exit.FAILED;
    } catch (ScenarioRun.Failed e) {
      return Exit.fail(Exit.FAILED, e.getMessage() + "; logs are in " + folder);
    }
  }
}
