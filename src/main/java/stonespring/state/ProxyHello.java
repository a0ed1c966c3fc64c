package stonespring.state;

import java.util.List;
import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.ZoneId;

/**
 * A proxy's announcement that it is connected.
 *
 * @param processId drawn by the proxy at its start; tells it from another that claims its name
 * @param sessionSequence counts the process's sessions: a later one replaces the earlier one
 * @param requestsPerSecond what it usually receives; rough
 * @param withoutTables whether it holds only the route tables that it started with
 * @param tableEndpoints the endpoints that its tables name; empty if it does not say
 */
public record ProxyHello(
    String processId,
    long sessionSequence,
    ZoneId zone,
    double requestsPerSecond,
    boolean withoutTables,
    Optional<List<EndpointId>> tableEndpoints) {
  /** Whether this announces a later session of the same process. */
  boolean replaces(ProxyHello earlier) {
    return processId.equals(earlier.processId) && sessionSequence > earlier.sessionSequence;
  }

  /** Whether both announce the same session of the same process. */
  boolean renews(ProxyHello earlier) {
    return processId.equals(earlier.processId) && sessionSequence == earlier.sessionSequence;
  }
}
