package stonespring.daemon;

import java.util.OptionalInt;
import stonespring.config.PlatformConfig;
import stonespring.line.LineLimits;
import stonespring.model.Settings;
import stonespring.proxyapi.platform.PlatformProxyApi;

/**
 * Derives the connection limits on the platform from the number of file descriptors that the
 * process may use.
 */
final class PlatformConnectionLimits {
  /** Limit for a received line; the longest valid one has a few hundred bytes. */
  private static final int MAX_LINE_BYTES = 16 << 10;

  /** Limit for unsent data of one connection: over a hundred messages. */
  private static final int MAX_PENDING_BYTES = 64 << 10;

  /**
   * Time that a client has for its handshake: half of the time within which a client that never
   * completes it must be disconnected.
   */
  private static final int HANDSHAKE_TIMEOUT_MILLIS = 1_500;

  /**
   * Descriptors for the program's archives, the listener, the log, requests to discovery, a reload
   * of the configuration and connections that are refused. Connections never use them.
   */
  private static final int RESERVED_DESCRIPTORS = 56;

  /**
   * Minimum of the limit on connections with a pending handshake: some clients must always be able
   * to connect and complete their handshakes.
   */
  private static final int MIN_PENDING_HANDSHAKES = 8;

  /**
   * Maximum of the limit on connections with a pending handshake: more of them would only use
   * memory.
   */
  private static final int MAX_PENDING_HANDSHAKES = 256;

  private PlatformConnectionLimits() {}

  /**
   * Computes the limits. Connections with a pending handshake may use the descriptors that proxies,
   * collectors and the process itself leave over.
   *
   * @param descriptorLimit the descriptors that the operating system grants the process; empty if
   *     unknown. The lower one of this limit and the configured one counts
   */
  static LineLimits of(PlatformConfig config, OptionalInt descriptorLimit) {
    int descriptors = Math.min(config.sockets(), descriptorLimit.orElse(config.sockets()));
    Settings.Fleet fleet = config.settings().settings().fleet();
    // In each zone one collector above the limit is accepted before the oldest one is closed.
    int collectors = (PlatformProxyApi.MAX_COLLECTORS_PER_ZONE + 1) * fleet.zones();
    int maxConnections = Math.max(MIN_PENDING_HANDSHAKES, descriptors - RESERVED_DESCRIPTORS);
    int available = maxConnections - fleet.proxies() - collectors;
    int pendingHandshakes =
        Math.max(MIN_PENDING_HANDSHAKES, Math.min(MAX_PENDING_HANDSHAKES, available));
    return new LineLimits(
        MAX_LINE_BYTES,
        pendingHandshakes,
        maxConnections,
        HANDSHAKE_TIMEOUT_MILLIS,
        MAX_PENDING_BYTES);
  }
}
