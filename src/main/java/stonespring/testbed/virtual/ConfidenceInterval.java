package stonespring.testbed.virtual;

/**
 * A mean with its 95% confidence interval.
 *
 * @param mean the mean of the sample, not of its resamples
 * @param low lower bound of the interval
 * @param high upper bound of the interval
 */
public record ConfidenceInterval(double mean, double low, double high) {}
