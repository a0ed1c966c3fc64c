package stonespring.testbed.virtual;

/**
 * A mean with its 95% confidence interval.
 *
 * @param mean the mean of the sample itself
 * @param low lower end
 * @param high upper end
 */
public record ConfidenceInterval(double mean, double low, double high) {}
