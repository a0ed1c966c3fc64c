package stonespring.state;

import java.util.List;
import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.ZoneId;

/**
 * The message by which a proxy opens or renews its session.
 *
 * @param processId random identifier chosen by the proxy process at its start; distinguishes it
 *     from another process that uses the same proxy name
 * @param sessionSequence number of the session within the process; a session with a higher number
 *     replaces earlier ones
 * @param requestsPerSecond rough estimate of the request rate that the proxy usually receives
 * @param withoutTables whether the proxy holds no route tables beyond its bootstrap routes
 * @param tableEndpoints the endpoints in the route tables that the proxy holds; empty if the proxy
 *     does not report them
 */
public record ProxyHello(
    String processId,
    long sessionSequence,
    ZoneId zone,
    double requestsPerSecond,
    boolean withoutTables,
    Optional<List<EndpointId>> tableEndpoints) {
  /** Whether this hello announces a later session of the same process. */
  boolean isLaterSessionThan(ProxyHello earlier) {
    return processId.equals(earlier.processId) && sessionSequence > earlier.sessionSequence;
  }

  /** Whether both hellos announce the same session of the same process. */
  boolean isSameSessionAs(ProxyHello earlier) {
    return processId.equals(earlier.processId) && sessionSequence == earlier.sessionSequence;
  }
}
