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
import stonespring.recording.InvalidRecordingException;
import stonespring.recording.Recording;
import stonespring.recording.RecordingFile;
import stonespring.testbed.virtual.Charts;
import stonespring.testbed.virtual.Comparison;
import stonespring.testbed.virtual.Policy;

@Command(
    name = "compare",
    mixinStandardHelpOptions = true,
    description =
        "Plays recorded loads in virtual time under several policies: service with error bars, churn, crossings.")
final class CompareCommand implements Callable<Integer> {
  @Parameters(paramLabel = "RECORDING", arity = "1..*", description = "Recorded loads.")
  private List<Path> files;

  @Option(
      names = "--with",
      split = ",",
      defaultValue = "even,module,solver",
      description =
          "Policies: even, module, solver (${DEFAULT-VALUE}); the first is what the others are held against.")
  private List<Policy> policies;

  @Option(names = "--seeds", defaultValue = "5", description = "How many each (${DEFAULT-VALUE}).")
  private int seeds;

  @Option(
      names = "--plots",
      paramLabel = "FOLDER",
      description = "Writes service.png and connections.png there.")
  private Path plots;

  @Option(names = "--json", description = "JSON instead of a table.")
  private boolean json;

  @Override
  public Integer call() throws Exception {
    Logs.warningsOnly();
    if (seeds < 1 || seeds > 1_000) {
      return Exit.fail(Exit.USAGE, "compare: --seeds is from 1 to 1000");
    }
    List<Recording> loads = new ArrayList<>();
    try {
      for (Path file : files) {
        loads.add(RecordingFile.read(file));
      }
    } catch (InvalidRecordingException e) {
      return Exit.fail(Exit.USAGE, "compare: " + e.getMessage());
    }
    List<Comparison.Row> rows = Comparison.of(loads, policies, seeds);
    System.out.print(
        json
            ? new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(rows)
                + System.lineSeparator()
            : text(rows));
    if (plots != null) {
      Charts.write(rows, plots).forEach(file -> System.err.println("written: " + file));
    }
    return Exit.GOOD;
  }

  private String text(List<Comparison.Row> rows) {
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
    for (Comparison.Row r : rows) {
      out.append(
          String.format(
              Locale.ROOT,
              "%-20s %-7s %.4f %.4f..%.4f %+.4f %+.4f..%+.4f %6.3f %6.0f %7.0f %6.2f %5.2f %5.1f%n",
              r.load(),
              r.policy().name().toLowerCase(Locale.ROOT),
              r.service().mean(),
              r.service().low(),
              r.service().high(),
              r.against().mean(),
              r.against().low(),
              r.against().high(),
              r.worstWindow(),
              r.connections(),
              r.lines(),
              r.crossings(),
              r.coldWorst(),
              r.bareSeconds()));
    }
    return out.toString();
  }
}
