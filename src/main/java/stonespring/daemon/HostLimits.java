package stonespring.daemon;

/**
 * Limits on an instance's state.
 *
 * @param proxies maximum number of connected proxies; further ones are refused
 * @param reportPairs maximum number of pairs of zone and endpoint, or of proxy and request class,
 *     for which reports are aggregated; data of further pairs is dropped and counted
 * @param keys maximum number of published keys; an update that needs more is not published
 */
public record HostLimits(int proxies, int reportPairs, int keys) {
  /** Limits far above the needs of the fleets that an instance is meant for. */
  public static final HostLimits DEFAULT = new HostLimits(20_000, 200_000, 4_000_000);
}
