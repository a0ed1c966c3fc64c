package stonespring.proxyapi.platform;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import stonespring.model.AckId;
import stonespring.state.AdmissionLimit;
import stonespring.state.ProxyChange;

/**
 * An update in the form of the platform's protocol. The proxy applies all parts atomically.
 *
 * @param exclusions the endpoints that the proxy excludes or allows again
 * @param ack the requested acknowledgement, or empty if none is requested
 */
record ConfigMessage(List<Part> parts, ExclusionChanges exclusions, Optional<AckId> ack) {
  /**
   * A change of the routes and the admission limit of one or more request classes.
   *
   * @param requestClasses the indexes of the request classes; at least one
   * @param replacesTable whether the proxy first removes all routes and the limit of the classes
   * @param limit the new limit, or empty if it does not change
   */
  record Part(
      BitSet requestClasses,
      boolean replacesTable,
      List<ProxyChange.RouteChange> routes,
      Optional<AdmissionLimit> limit) {
    /** Creates a part that changes only the admission limit. */
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

  /** Returns whether the message changes nothing and requests no acknowledgement. */
  boolean isEmpty() {
    return parts.isEmpty() && exclusions.isEmpty() && ack.isEmpty();
  }

  /** Returns the number of entries that the channel charges, without the message overhead. */
  int entries() {
    int entries = exclusions.size() + (ack.isPresent() ? 1 : 0);
    for (Part part : parts) {
      entries += part.entries();
    }
    return entries;
  }
}
