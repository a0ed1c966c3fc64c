package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import stonespring.recording.Recording;

/** Recorded loads under several policies, each with several seeds, with error bars. */
public final class Comparison {
  /** A mean with the span that holds nineteen of twenty resampled ones. */
  public record Bar(double mean, double low, double high) {}

  /**
   * One load under one policy.
   *
   * @param service benefit answered within the target latency over the benefit asked for
   * @param against its difference from the first policy's, by the same spans of the same seeds
   * @param connections opened, mean a seed
   * @param lines table lines changed, mean a seed
   */
  public record Row(
      String load,
      Policy policy,
      Bar service,
      Bar against,
      double worstWindow,
      double connections,
      double lines,
      double crossings,
      double coldWorst,
      double bareSeconds) {}

  private static final int RESAMPLES =
      2_000; // the ends of a span move by under a tenth of it between as many
  private static final double OUTSIDE =
      0.025; // share of the resampled means on each side of the span

  private Comparison() {}

  /**
   * Plays all of it, on as many threads as there are; the figures depend on the loads, the policies
   * and the count of seeds.
   */
  public static List<Row> of(List<Recording> loads, List<Policy> policies, int seeds) {
    List<Row> rows = new ArrayList<>();
    for (Recording load : loads) {
      Played[][] played = new Played[policies.size()][seeds];
      IntStream.range(0, policies.size() * seeds)
          .parallel()
          .forEach(
              i ->
                  played[i / seeds][i % seeds] =
                      new VirtualFleet(load, policies.get(i / seeds), i % seeds + 1).play());
      for (int p = 0; p < policies.size(); p++) {
        rows.add(row(load.head().name(), policies.get(p), played[p], played[0]));
      }
    }
    return rows;
  }

  private static Row row(String load, Policy policy, Played[] of, Played[] first) {
    return new Row(
        load,
        policy,
        bar(of, null),
        bar(of, first),
        Arrays.stream(of)
            .mapToDouble(
                p ->
                    p.windows().stream()
                        .mapToDouble(w -> w.inTime() / Math.max(1e-9, w.asked()))
                        .min()
                        .orElse(1))
            .average()
            .orElse(1),
        mean(of, Played::connections),
        mean(of, Played::lines),
        mean(of, Played::crossings),
        Arrays.stream(of).mapToDouble(Played::coldWorst).max().orElse(0),
        mean(of, Played::bare));
  }

  private static double mean(Played[] of, java.util.function.ToDoubleFunction<Played> figure) {
    return Arrays.stream(of).mapToDouble(figure).average().orElse(0);
  }

  /**
   * A bootstrap over all windows of all seeds (Efron and Tibshirani, An Introduction to the
   * Bootstrap, chapter 13): windows and not ops, since ops of one jam fail together. With {@code
   * less}, of the difference window by window.
   */
  private static Bar bar(Played[] of, Played[] less) {
    List<double[]> spans = new ArrayList<>();
    for (int s = 0; s < of.length; s++) {
      for (int w = 0; w < of[s].windows().size(); w++) {
        Played.Window own = of[s].windows().get(w);
        double other = less == null ? 0 : less[s].windows().get(w).inTime();
        spans.add(new double[] {own.asked(), own.inTime() - other});
      }
    }
    SplittableRandom random = new SplittableRandom(1);
    double[] means = new double[RESAMPLES];
    for (int r = 0; r < RESAMPLES; r++) {
      double asked = 0;
      double inTime = 0;
      for (int i = 0; i < spans.size(); i++) {
        double[] span = spans.get(random.nextInt(spans.size()));
        asked += span[0];
        inTime += span[1];
      }
      means[r] = inTime / Math.max(1e-9, asked);
    }
    Arrays.sort(means);
    double asked = spans.stream().mapToDouble(s -> s[0]).sum();
    return new Bar(
        spans.stream().mapToDouble(s -> s[1]).sum() / Math.max(1e-9, asked),
        means[(int) (OUTSIDE * RESAMPLES)],
        means[(int) ((1 - OUTSIDE) * RESAMPLES) - 1]);
  }
}
