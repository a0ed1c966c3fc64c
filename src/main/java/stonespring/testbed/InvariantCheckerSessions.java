package stonespring.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The times at which proxies were connected to an instance, from the evidence. Immutable. */
final class InvariantCheckerSessions {
  private final Map<String, List<Evidence.Session>> sessionsByProxy = new HashMap<>();

  InvariantCheckerSessions(Evidence evidence) {
    for (Evidence.Session session : evidence.observationsOf(Evidence.Session.class)) {
      sessionsByProxy.computeIfAbsent(session.proxy(), proxy -> new ArrayList<>()).add(session);
    }
  }

  /**
   * Returns when the session began in which the proxy was connected at the given time,
   * milliseconds; NaN if it was not connected.
   */
  double connectedSince(String proxy, double atMillis) {
    double sinceMillis = Double.NaN;
    for (Evidence.Session session : sessionsByProxy.getOrDefault(proxy, List.of())) {
      if (session.atMillis() > atMillis) {
        break;
      }
      sinceMillis = session.connected() ? session.atMillis() : Double.NaN;
    }
    return sinceMillis;
  }
}
