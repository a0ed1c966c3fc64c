package stonespring.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stonespring.testbed.platform.SoakResult;
import stonespring.testbed.platform.SoakRun;

/** Plays the soak test of an instance on the operators' platform. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Starts an instance as the deployment file does, plays proxies, discovery and signals from seeds on the"
            + " loopback interface, and checks what crossed the sockets. Linux only.")
final class SoakCommand implements Callable<Integer> {
  /** A restarted process is ready within this time in nine of ten starts. */
  private static final long READY_GOAL_MILLIS = 10_000;

  private static final int LAST_LOG_LINES = 20;

  @Option(
      names = "--first-seed",
      defaultValue = "1",
      description = "First seed (default: ${DEFAULT-VALUE}).")
  private long firstSeed;

  @Option(
      names = "--seeds",
      defaultValue = "5",
      description = "Number of seeds (default: ${DEFAULT-VALUE}).")
  private int seeds;

  @Option(
      names = "--starts",
      defaultValue = "3",
      description =
          "Processes that each seed starts one after the other (default: ${DEFAULT-VALUE}).")
  private int starts;

  @Option(
      names = "--parallel",
      defaultValue = "1",
      description = "Seeds that run at the same time (default: ${DEFAULT-VALUE}).")
  private int parallel;

  @Option(
      names = "--deployment",
      defaultValue = "deploy/balancer.toml",
      description =
          "Deployment file, whose line 'run' starts the instance (default: ${DEFAULT-VALUE}).")
  private Path deploymentFile;

  @Option(
      names = "--keep",
      paramLabel = "FOLDER",
      description = "Folder for the logs of the instances (default: a temporary folder).")
  private Path logFolder;

  @Override
  public Integer call() throws Exception {
    if (seeds < 1 || starts < 1 || parallel < 1) {
      throw CommandFailedException.usage(
          "soak: expected --seeds, --starts and --parallel of at least 1, found --seeds "
              + seeds
              + ", --starts "
              + starts
              + " and --parallel "
              + parallel);
    }
    String command = SoakRun.readRunLine(deploymentFile);
    Path root = logFolder == null ? Files.createTempDirectory("soak") : logFolder;
    ExecutorService executor = Executors.newFixedThreadPool(parallel);
    List<Future<SoakResult>> runs = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      long runSeed = seed;
      runs.add(executor.submit(() -> run(runSeed, command, root)));
    }
    executor.shutdown();
    return report(runs, root) ? ExitCode.OK : ExitCode.FAILED;
  }

  private SoakResult run(long seed, String command, Path root)
      throws IOException, InterruptedException {
    Path folder = Files.createDirectories(root.resolve("seed-" + seed));
    return new SoakRun(seed, starts, command, folder).run();
  }

  private boolean report(List<Future<SoakResult>> runs, Path root)
      throws InterruptedException, ExecutionException, IOException {
    int failed = 0;
    List<Long> readyMillis = new ArrayList<>();
    for (Future<SoakResult> run : runs) {
      SoakResult result = run.get();
      readyMillis.addAll(result.readyMillis());
      System.out.printf(
          "seed %d: %s, ready after %s ms%n",
          result.seed(), result.passed() ? "passed" : "FAILED", result.readyMillis());
      if (!result.passed()) {
        failed++;
        printFailure(result, root.resolve("seed-" + result.seed()));
      }
    }
    long late = readyMillis.stream().filter(millis -> millis > READY_GOAL_MILLIS).count();
    boolean readyInTime = late * 10 <= readyMillis.size();
    System.out.printf(
        "%d passed, %d failed; %d of %d starts took over %d ms%n",
        runs.size() - failed, failed, late, readyMillis.size(), READY_GOAL_MILLIS);
    return failed == 0 && readyInTime;
  }

  private void printFailure(SoakResult result, Path folder) throws IOException {
    result.violations().forEach(violation -> System.out.println("  " + violation));
    System.out.println("  played:");
    result.events().forEach(event -> System.out.println("    " + event));
    for (int i = 1; Files.exists(folder.resolve("instance-" + i + ".log")); i++) {
      Path log = folder.resolve("instance-" + i + ".log");
      List<String> lines = Files.readAllLines(log);
      System.out.println("  last lines of " + log + ":");
      lines
          .subList(Math.max(0, lines.size() - LAST_LOG_LINES), lines.size())
          .forEach(line -> System.out.println("    " + line));
    }
    System.out.printf(
        "  again: stonespring soak --first-seed %d --seeds 1 --starts %d%n", result.seed(), starts);
  }
}
