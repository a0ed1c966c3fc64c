package stonespring.state;

import java.util.List;
import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.ZoneId;

/**
 * A proxy's announcement that it is connected.
 *
 * @param processId drawn by the proxy at its start; tells it from another that claims its name
 * @param connectionCount counts the proxy's connections: a later one of the same process replaces
 *     the earlier one
 * @param requestsPerSecond what it usually receives; rough
 * @param withoutTables whether it holds only the route tables that it started with
 * @param tableEndpoints the endpoints that its tables name; empty if it does not say
 */
public record ProxyHello(
    String processId,
    long connectionCount,
    ZoneId zone,
    double requestsPerSecond,
    boolean withoutTables,
    Optional<List<EndpointId>> tableEndpoints) {
  /** Whether this announces a later connection of the same process. */
  boolean replaces(ProxyHello earlier) {
    return processId.equals(earlier.processId) && connectionCount > earlier.connectionCount;
  }

  /** Whether both announce the same connection of the same process. */
  boolean renews(ProxyHello earlier) {
    return processId.equals(earlier.processId) && connectionCount == earlier.connectionCount;
  }
}
