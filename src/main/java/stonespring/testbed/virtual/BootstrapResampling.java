package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Bootstrap confidence intervals by the percentile method (Efron and Tibshirani, An Introduction to
 * the Bootstrap, chapter 13). Time windows of all seeds are resampled rather than single requests,
 * because the failures of requests during the same overload are correlated.
 */
final class BootstrapResampling {
  /** With this many, interval ends vary by less than a tenth of the interval's width. */
  private static final int RESAMPLES = 2_000;

  /** Fraction of the resampled means below the interval, and above it. */
  private static final double TAIL_FRACTION = 0.025;

  private static final long RESAMPLING_SEED = 1;

  private record Sample(double weightRequested, double weightInTime) {}

  private BootstrapResampling() {}

  /** Returns the service over the windows of all results, with its confidence interval. */
  static ConfidenceInterval service(ReplayResult[] results) {
    List<Sample> samples = new ArrayList<>();
    for (ReplayResult result : results) {
      for (ReplayResult.Window window : result.windows()) {
        samples.add(new Sample(window.weightRequested(), window.weightInTime()));
      }
    }
    return interval(samples);
  }

  /**
   * Returns the difference between the service of the results and that of a baseline, with its
   * confidence interval. Windows are compared in pairs.
   *
   * @param baseline results of the same load; the result at each index has the same seed
   */
  static ConfidenceInterval serviceDifference(ReplayResult[] results, ReplayResult[] baseline) {
    List<Sample> samples = new ArrayList<>();
    for (int seed = 0; seed < results.length; seed++) {
      List<ReplayResult.Window> windows = results[seed].windows();
      for (int index = 0; index < windows.size(); index++) {
        ReplayResult.Window window = windows.get(index);
        double baselineInTime = baseline[seed].windows().get(index).weightInTime();
        samples.add(new Sample(window.weightRequested(), window.weightInTime() - baselineInTime));
      }
    }
    return interval(samples);
  }

  private static ConfidenceInterval interval(List<Sample> samples) {
    double[] means = resampledMeans(samples);
    Arrays.sort(means);
    double requested = samples.stream().mapToDouble(Sample::weightRequested).sum();
    double inTime = samples.stream().mapToDouble(Sample::weightInTime).sum();
    return new ConfidenceInterval(
        inTime / Math.max(ReplayResult.MIN_WEIGHT, requested),
        means[(int) (TAIL_FRACTION * RESAMPLES)],
        means[(int) ((1 - TAIL_FRACTION) * RESAMPLES) - 1]);
  }

  private static double[] resampledMeans(List<Sample> samples) {
    SplittableRandom random = new SplittableRandom(RESAMPLING_SEED);
    double[] means = new double[RESAMPLES];
    for (int resample = 0; resample < RESAMPLES; resample++) {
      double requested = 0;
      double inTime = 0;
      for (int draw = 0; draw < samples.size(); draw++) {
        Sample sample = samples.get(random.nextInt(samples.size()));
        requested += sample.weightRequested;
        inTime += sample.weightInTime;
      }
      means[resample] = inTime / Math.max(ReplayResult.MIN_WEIGHT, requested);
    }
    return means;
  }
}
