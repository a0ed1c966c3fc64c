package stonespring.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import stonespring.model.EndpointId;
import stonespring.proxy.routing.RouterSettings;

/**
 * Settings of a proxy.
 *
 * @param seed seed of the proxy's random number generators
 * @param requestTimeoutsMillis timeout of a request, by request class, in milliseconds
 * @param bootstrapEndpoints endpoints that the proxy uses, with equal weights, for a request class
 *     until it receives a table for the class
 * @param usualRequestsPerSecond approximate request rate that the proxy usually receives
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
   * Settings of the connection to an instance.
   *
   * @param instances host and ports of each instance, in the order in which they are tried
   * @param applyDelayMicrosPerChange delay before an update is applied, for each change in it, in
   *     microseconds
   * @param reportIntervalMillis interval between load reports, in milliseconds
   * @param silenceTimeoutMillis how long an instance may send nothing before the connection is
   *     closed, in milliseconds
   * @param minReconnectMillis shortest delay before reconnecting, in milliseconds
   * @param maxReconnectMillis upper bound of the random delay before reconnecting, in milliseconds
   * @param sessionTtlSeconds how long an instance keeps the session without a renewal, in seconds
   */
  public record InstanceLink(
      List<Ports> instances,
      int applyDelayMicrosPerChange,
      long reportIntervalMillis,
      long silenceTimeoutMillis,
      int minReconnectMillis,
      int maxReconnectMillis,
      int sessionTtlSeconds) {}

  /**
   * An instance's host and its three ports. Each port is given separately because a relay between
   * proxy and instance may map it to a different one.
   */
  public record Ports(String host, int snapshots, int updates, int collector) {}

  /** Parses the address from an endpoint's id, {@code NAME@HOST:PORT}. */
  static InetSocketAddress address(EndpointId endpoint) {
    String address = endpoint.name().substring(endpoint.name().lastIndexOf('@') + 1);
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
