package stonespring.daemon;

import stonespring.config.PlatformConfig;
import stonespring.line.LineLimits;
import stonespring.model.Settings;
import stonespring.proxyapi.platform.PlatformProxyApi;

/** Derives the limits of connections on the platform from the process's file descriptors. */
final class PlatformConnectionLimits {
  private static final int MAX_LINE_BYTES = 16 << 10;
  private static final int MAX_PENDING_BYTES = 64 << 10;

  /**
   * Half of the time within which a client that never completes its handshake must be disconnected.
   */
  private static final int HANDSHAKE_TIMEOUT_MILLIS = 1_500;

  /** Descriptors of the process itself, of the listener and of requests to discovery. */
  private static final int RESERVED_DESCRIPTORS = 56;

  private static final int MIN_PENDING_HANDSHAKES = 8;
  private static final int MAX_PENDING_HANDSHAKES = 256;

  private PlatformConnectionLimits() {}

  /**
   * Connections with a pending handshake may use the descriptors left over by proxies, collectors
   * and the process itself.
   */
  static LineLimits of(PlatformConfig config) {
    Settings.Fleet fleet = config.settings().settings().fleet();
    // One collector above its zone's bound is accepted before the oldest is closed.
    int collectors = (PlatformProxyApi.MAX_COLLECTORS_PER_ZONE + 1) * fleet.zones();
    int available = config.sockets() - fleet.proxies() - collectors - RESERVED_DESCRIPTORS;
    int pendingHandshakes =
        Math.max(MIN_PENDING_HANDSHAKES, Math.min(MAX_PENDING_HANDSHAKES, available));
    return new LineLimits(
        MAX_LINE_BYTES, pendingHandshakes, HANDSHAKE_TIMEOUT_MILLIS, MAX_PENDING_BYTES);
  }
}
