package stonespring.proxyapi.platform;

import java.util.HashSet;
import java.util.Set;
import stonespring.model.EndpointId;

/**
 * Which endpoints a proxy may have excluded. A proxy keeps its exclusions when its session ends,
 * and another instance may have added some meanwhile, so an endpoint that this session has not
 * changed yet is uncertain.
 */
final class ProxyExclusions {
  private final Set<EndpointId> excluded;
  private final boolean otherInstancesMayHaveExcluded;
  private final Set<EndpointId> changedInSession = new HashSet<>();

  /**
   * Creates the exclusions of a new session.
   *
   * @param excluded what this instance excluded in earlier sessions of the proxy; changed here
   * @param otherInstancesMayHaveExcluded whether the proxy may hold exclusions of other instances
   */
  ProxyExclusions(Set<EndpointId> excluded, boolean otherInstancesMayHaveExcluded) {
    this.excluded = excluded;
    this.otherInstancesMayHaveExcluded = otherInstancesMayHaveExcluded;
  }

  /** Applies changes, and drops those that the proxy has made already; exclusion goes first. */
  void apply(ExclusionChanges changes) {
    changes.allowed().removeAll(changes.excluded());
    changes.allowed().removeIf(endpoint -> !mayBeExcluded(endpoint));
    changes.excluded().removeIf(this::isKnownToBeExcluded);
    excluded.removeAll(changes.allowed());
    excluded.addAll(changes.excluded());
    changedInSession.addAll(changes.allowed());
    changedInSession.addAll(changes.excluded());
  }

  private boolean mayBeExcluded(EndpointId endpoint) {
    return excluded.contains(endpoint) || isUncertain(endpoint);
  }

  private boolean isKnownToBeExcluded(EndpointId endpoint) {
    return excluded.contains(endpoint) && !isUncertain(endpoint);
  }

  private boolean isUncertain(EndpointId endpoint) {
    return otherInstancesMayHaveExcluded && !changedInSession.contains(endpoint);
  }
}
