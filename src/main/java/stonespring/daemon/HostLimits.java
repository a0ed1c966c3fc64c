package stonespring.daemon;

/**
 * Bounds of an instance's state. What gives way: a proxy over {@code proxies} is refused; pairs of
 * a report over {@code reportPairs} are left out and counted; a message that would need more than
 * {@code keys} is not published.
 */
public record HostLimits(int proxies, int reportPairs, int keys) {
  public static final HostLimits USUAL = new HostLimits(20_000, 200_000, 4_000_000);
}
