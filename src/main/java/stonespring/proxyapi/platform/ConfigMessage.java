package stonespring.proxyapi.platform;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import stonespring.model.AckId;
import stonespring.state.AdmissionLimit;
import stonespring.state.ProxyChange;

/**
 * An update as the platform's protocol has it: the proxy applies all parts together.
 *
 * @param ack the acknowledgement that is requested, if any
 */
record ConfigMessage(List<Part> parts, ExclusionChanges exclusions, Optional<AckId> ack) {
  /**
   * A change of the routes and the admission limit of some request classes.
   *
   * @param requestClasses positions of the classes; at least one
   * @param replacesTable whether the routes replace all others, and the limit is forgotten first
   * @param limit the new limit, or empty if it stays
   */
  record Part(
      BitSet requestClasses,
      boolean replacesTable,
      List<ProxyChange.RouteChange> routes,
      Optional<AdmissionLimit> limit) {
    /** A part that only sets a limit. */
    static Part ofLimit(BitSet requestClasses, AdmissionLimit limit) {
      return new Part(requestClasses, false, List.of(), Optional.of(limit));
    }

    Part withLimit(AdmissionLimit newLimit) {
      return new Part(requestClasses, replacesTable, routes, Optional.of(newLimit));
    }

    private int entries() {
      return routes.size() + (replacesTable ? 1 : 0) + (limit.isPresent() ? 1 : 0);
    }
  }

  /** Whether it changes nothing and requests nothing. */
  boolean isEmpty() {
    return parts.isEmpty() && exclusions.isEmpty() && ack.isEmpty();
  }

  /** Entries that the channel charges for it, the overhead of the message not counted. */
  int entries() {
    int entries = exclusions.size() + (ack.isPresent() ? 1 : 0);
    for (Part part : parts) {
      entries += part.entries();
    }
    return entries;
  }
}
