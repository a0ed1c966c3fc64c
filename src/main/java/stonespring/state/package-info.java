/**
 * The state that an instance publishes to its proxies, and the reports that it receives from them.
 *
 * <p>{@link stonespring.state.RouteTables} converts the commands of the decision engine to an
 * update for each affected proxy, {@link stonespring.state.RateLimitedChannel} limits the rate of
 * the updates, and {@link stonespring.state.PublishedState} publishes them as keys. {@link
 * stonespring.state.ProxySessions} tracks the connected proxies; {@link
 * stonespring.state.ReportAggregator} sums their reports. The classes of this package perform no
 * I/O, read no clock and are not thread-safe. Instants and durations are in {@link
 * stonespring.model.DeciMillis}.
 */
package stonespring.state;
