package stonespring.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import stonespring.model.EndpointId;
import stonespring.proxy.routing.RouterSettings;

/**
 * What a proxy is started with.
 *
 * @param opTimeouts by op type, milliseconds
 * @param standing the tasks of the table that it starts with
 * @param assigners where assigners may be dialled, in order, each with its three ports
 * @param usualOps ops a second that it usually gets; rough
 * @param lineMicros how long it stands still for each line of a message that it applies,
 *     microseconds
 * @param silenceMillis how long an assigner may be silent before it is given up
 * @param redialLeast the shortest wait before it dials again, milliseconds; the wait is drawn up to
 *     {@code redialMost}
 */
public record ProxySettings(
    String name,
    String zone,
    long seed,
    RouterSettings router,
    List<Long> opTimeouts,
    List<EndpointId> standing,
    List<Ports> assigners,
    double usualOps,
    int lineMicros,
    long reportMillis,
    long silenceMillis,
    int redialLeast,
    int redialMost,
    int presenceSeconds) {
  /** An assigner's three ports; a link between may have moved each of them. */
  public record Ports(String host, int snapshots, int updates, int collector) {}

  static InetSocketAddress address(EndpointId task) {
    String text = task.name().substring(task.name().lastIndexOf('@') + 1);
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
