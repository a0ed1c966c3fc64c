package stonespring.daemon;

/**
 * Bounds of an instance's state.
 *
 * @param proxies connected proxies; further ones are refused
 * @param reportPairs pairs of zone and endpoint, or proxy and request class, that reports are
 *     gathered for; further ones are left out and counted
 * @param keys published keys; an update that would need more is not published
 */
public record HostLimits(int proxies, int reportPairs, int keys) {
  /** Far above the fleets that an instance is meant for. */
  public static final HostLimits DEFAULT = new HostLimits(20_000, 200_000, 4_000_000);
}
