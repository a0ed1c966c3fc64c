package stonespring.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import stonespring.model.EndpointId;
import stonespring.proxy.routing.RouterSettings;

/**
 * What a proxy is started with.
 *
 * @param seed of its random numbers
 * @param requestTimeoutsMillis by request class
 * @param bootstrapEndpoints the endpoints of the table that it starts with
 * @param usualRequestsPerSecond what it usually receives; rough
 */
public record ProxySettings(
    String name,
    String zone,
    long seed,
    RouterSettings router,
    List<Long> requestTimeoutsMillis,
    List<EndpointId> bootstrapEndpoints,
    double usualRequestsPerSecond,
    InstanceLink instanceLink) {
  /**
   * How it connects to an instance.
   *
   * @param instances where instances may be reached, in order
   * @param applyDelayMicrosPerChange how long it halts for each change of an update that it
   *     applies, microseconds
   * @param reportIntervalMillis interval of its reports
   * @param silenceTimeoutMillis how long an instance may be silent before the connection is given
   *     up
   * @param minReconnectMillis the shortest wait before it connects again; the wait is drawn up to
   *     {@code maxReconnectMillis}
   * @param sessionTtlSeconds how long an instance keeps its session without a renewal
   */
  public record InstanceLink(
      List<Ports> instances,
      int applyDelayMicrosPerChange,
      long reportIntervalMillis,
      long silenceTimeoutMillis,
      int minReconnectMillis,
      int maxReconnectMillis,
      int sessionTtlSeconds) {}

  /** An instance's three ports; a link in between may have moved each of them. */
  public record Ports(String host, int snapshots, int updates, int collector) {}

  /** The address that an endpoint's id holds. */
  static InetSocketAddress address(EndpointId endpoint) {
    String address = endpoint.name().substring(endpoint.name().lastIndexOf('@') + 1);
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
