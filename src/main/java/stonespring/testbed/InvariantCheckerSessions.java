package stonespring.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** When which proxy was connected to an instance, by the evidence. Immutable. */
final class InvariantCheckerSessions {
  private final Map<String, List<Evidence.Session>> byProxy = new HashMap<>();

  InvariantCheckerSessions(Evidence evidence) {
    for (Evidence.Session session : evidence.observationsOf(Evidence.Session.class)) {
      byProxy.computeIfAbsent(session.proxy(), proxy -> new ArrayList<>()).add(session);
    }
  }

  /** Since when a proxy had been connected at a time; NaN where it wasn't. */
  double connectedSince(String proxy, double at) {
    double since = Double.NaN;
    for (Evidence.Session session : byProxy.getOrDefault(proxy, List.of())) {
      if (session.at() > at) {
        break;
      }
      since = session.connected() ? session.at() : Double.NaN;
    }
    return since;
  }
}
