package stonespring.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.recording.Recording;
import stonespring.testbed.virtual.Comparison;
import stonespring.testbed.virtual.ComparisonCharts;
import stonespring.testbed.virtual.ComparisonRow;
import stonespring.testbed.virtual.Policy;

/** Replays recorded loads in virtual time under several policies and compares the results. */
@Command(
    name = "compare",
    mixinStandardHelpOptions = true,
    description =
        "Replays recorded loads in virtual time under several policies and compares them: service with"
            + " confidence intervals, route changes, requests to other zones.")
final class CompareCommand implements Callable<Integer> {
  private static final int MAX_SEEDS = 1_000;

  @Parameters(paramLabel = "RECORDING", arity = "1..*", description = "The recorded loads.")
  private List<Path> files;

  @Option(
      names = "--with",
      split = ",",
      defaultValue = "even,module,solver",
      description =
          "Policies: even, module, solver (default: ${DEFAULT-VALUE}); the others are compared with the first.")
  private List<Policy> policies;

  @Option(
      names = "--seeds",
      defaultValue = "5",
      description = "Number of seeds for each load and policy (default: ${DEFAULT-VALUE}).")
  private int seeds;

  @Option(
      names = "--plots",
      paramLabel = "FOLDER",
      description = "Folder to write the charts service.png and connections.png to.")
  private Path chartFolder;

  @Option(names = "--json", description = "Print JSON instead of a table.")
  private boolean json;

  @Override
  public Integer call() throws Exception {
    LoggingOptions.logWarningsOnly();
    if (seeds < 1 || seeds > MAX_SEEDS) {
      throw CommandFailedException.usage(
          "compare: --seeds: expected 1 to " + MAX_SEEDS + ", found " + seeds);
    }
    List<Recording> loads = new ArrayList<>();
    for (Path file : files) {
      loads.add(InputFiles.readRecording("compare", file));
    }
    List<ComparisonRow> rows = Comparison.run(loads, policies, seeds);
    if (json) {
      System.out.println(
          new ObjectMapper()
              .writerWithDefaultPrettyPrinter()
              .writeValueAsString(rows.stream().map(ComparisonJson::of).toList()));
    } else {
      System.out.print(formatTable(rows));
    }
    if (chartFolder != null) {
      ComparisonCharts.write(rows, chartFolder)
          .forEach(file -> System.err.println("chart written to " + file));
    }
    return ExitCode.OK;
  }

  private String formatTable(List<ComparisonRow> rows) {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            "%d seeds each, simulated tasks; spans hold 95%% of resampled means%n", seeds));
    out.append(
        String.format(
            "%-20s %-7s %-22s %-26s %6s %6s %7s %6s %5s %5s%n",
            "load",
            "policy",
            "service",
            "against " + policies.get(0).name().toLowerCase(Locale.ROOT),
            "worst",
            "conns",
            "lines",
            "cross",
            "cold",
            "bare"));
    for (ComparisonRow row : rows) {
      out.append(
          String.format(
              Locale.ROOT,
              "%-20s %-7s %.4f %.4f..%.4f %+.4f %+.4f..%+.4f %6.3f %6.0f %7.0f %6.2f %5.2f %5.1f%n",
              row.load(),
              row.policy().name().toLowerCase(Locale.ROOT),
              row.service().mean(),
              row.service().low(),
              row.service().high(),
              row.difference().mean(),
              row.difference().low(),
              row.difference().high(),
              row.worstWindowService(),
              row.averages().connections(),
              row.averages().routeChanges(),
              row.averages().crossZoneFraction(),
              row.peakWarmUpLoad(),
              row.averages().secondsWithoutRoutes()));
    }
    return out.toString();
  }
}
