package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import stonespring.recording.Recording;

/** Replays recorded loads under several policies with several seeds, and compares the policies. */
public final class Comparison {
  private Comparison() {}

  /**
   * Replays each load under each policy with the seeds 1 to {@code seeds}, in parallel on all
   * processors. The figures depend on the arguments only.
   *
   * @param policies at least one; the first is the baseline of the comparison
   * @param seeds number of seeds, at least 1
   * @return one row for each load and policy, in the order of the arguments
   */
  public static List<ComparisonRow> run(List<Recording> loads, List<Policy> policies, int seeds) {
    List<ComparisonRow> rows = new ArrayList<>();
    for (Recording load : loads) {
      ReplayResult[][] results = replay(load, policies, seeds);
      for (int index = 0; index < policies.size(); index++) {
        rows.add(row(load.head().name(), policies.get(index), results[index], results[0]));
      }
    }
    return rows;
  }

  /** Returns the results indexed by policy and by seed - 1. */
  private static ReplayResult[][] replay(Recording load, List<Policy> policies, int seeds) {
    ReplayResult[][] results = new ReplayResult[policies.size()][seeds];
    IntStream.range(0, policies.size() * seeds)
        .parallel()
        .forEach(
            index -> {
              int policy = index / seeds;
              int seed = index % seeds;
              results[policy][seed] =
                  new VirtualFleet(load, policies.get(policy), seed + 1).replay();
            });
    return results;
  }

  private static ComparisonRow row(
      String load, Policy policy, ReplayResult[] results, ReplayResult[] baseline) {
    return new ComparisonRow(
        load,
        policy,
        BootstrapResampling.service(results),
        BootstrapResampling.serviceDifference(results, baseline),
        Arrays.stream(results).mapToDouble(Comparison::worstWindowService).average().orElse(1),
        new ComparisonRow.Averages(
            average(results, result -> result.attempts().connections()),
            average(results, result -> result.routes().routeChanges()),
            average(results, result -> result.attempts().crossZoneFraction()),
            average(results, result -> result.routes().secondsWithoutRoutes())),
        Arrays.stream(results)
            .mapToDouble(result -> result.attempts().peakWarmUpLoad())
            .max()
            .orElse(0));
  }

  private static double worstWindowService(ReplayResult result) {
    return result.windows().stream().mapToDouble(ReplayResult.Window::service).min().orElse(1);
  }

  private static double average(ReplayResult[] results, ToDoubleFunction<ReplayResult> figure) {
    return Arrays.stream(results).mapToDouble(figure).average().orElse(0);
  }
}
