package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Confidence intervals by resampling (Efron and Tibshirani, An Introduction to the Bootstrap,
 * chapter 13). The windows of all seeds are resampled and not the requests, since requests of one
 * overload fail together.
 */
final class BootstrapResampling {
  private static final int RESAMPLES = 2_000;

  /** The fraction of resampled means on each side of the interval. */
  private static final double TAIL_FRACTION = 0.025;

  private static final long RESAMPLING_SEED = 1;

  private record Sample(double weightRequested, double weightInTime) {}

  private BootstrapResampling() {}

  /** The service over the windows of all results. */
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
   * The difference of the service from a baseline, window by window.
   *
   * @param baseline results with the same load and, at each position, the same seed
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
