/**
 * The state that an instance publishes to its proxies, and what the proxies report back.
 *
 * <p>{@link stonespring.state.RouteTables} turns the commands of the decisions into an update for
 * each proxy, {@link stonespring.state.RateLimitedChannel} paces the updates, and {@link
 * stonespring.state.PublishedState} writes them as keys. {@link stonespring.state.ProxySessions}
 * knows which proxies are connected; {@link stonespring.state.ReportAggregator} sums their reports.
 * Nothing here does I/O, reads a clock or is safe for several threads; instants and durations are
 * in {@link stonespring.model.DeciMillis}.
 */
package stonespring.state;
