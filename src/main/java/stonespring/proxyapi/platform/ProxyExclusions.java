package stonespring.proxyapi.platform;

import java.util.HashSet;
import java.util.Set;
import stonespring.model.EndpointId;

/**
 * The endpoints that a proxy has excluded, as far as this instance knows. A proxy keeps its
 * exclusions when its session ends, and other instances may change them before the next session
 * starts. The state of an endpoint is therefore uncertain until this session changes it.
 */
final class ProxyExclusions {
  private final Set<EndpointId> excluded;
  private final boolean otherInstancesMayHaveExcluded;
  private final Set<EndpointId> changedInSession = new HashSet<>();

  /**
   * Creates the exclusions of a new session.
   *
   * @param excluded the endpoints that this instance excluded in earlier sessions of the proxy;
   *     this object updates the set
   * @param otherInstancesMayHaveExcluded whether the proxy may have exclusions of other instances
   */
  ProxyExclusions(Set<EndpointId> excluded, boolean otherInstancesMayHaveExcluded) {
    this.excluded = excluded;
    this.otherInstancesMayHaveExcluded = otherInstancesMayHaveExcluded;
  }

  /**
   * Applies changes to this state. Changes that would have no effect at the proxy are removed from
   * the argument, so that they are not sent. If the changes both exclude and allow an endpoint, it
   * is excluded.
   */
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
