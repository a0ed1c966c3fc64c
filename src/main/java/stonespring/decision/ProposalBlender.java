package stonespring.decision;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Moves tables towards the weights that the solver proposes, the less the older the proposal is.
 * Only endpoints that are warm and healthy follow it; the others go by what this instance knows.
 */
final class ProposalBlender {
  private final EngineClock clock;
  private final EndpointRegistry endpoints;

  ProposalBlender(EngineClock clock, EndpointRegistry endpoints) {
    this.clock = clock;
    this.endpoints = endpoints;
  }

  /**
   * Replaces the smallest route that the proposal does not want by the endpoint that it wants most:
   * one a round, as routes cost channel entries.
   */
  void scheduleReplacement(ProxyState proxy) {
    if (!proxy.isTableAssigned() || proxy.proposal().influence(clock.now()) == 0) {
      return;
    }
    Optional<EndpointState> mostWanted =
        proxy.proposal().weights().entrySet().stream()
            .filter(entry -> isMissing(proxy, entry.getKey()))
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey);
    if (mostWanted.isPresent()) {
      smallestRouteOutsideProposal(proxy)
          .ifPresent(route -> proxy.replacements().put(route.endpoint(), mostWanted.get()));
    }
  }

  private boolean isMissing(ProxyState proxy, EndpointState endpoint) {
    return followsProposal(proxy, endpoint)
        && !proxy.table().holds(endpoint)
        && !proxy.replacements().containsValue(endpoint);
  }

  private static Optional<Route> smallestRouteOutsideProposal(ProxyState proxy) {
    return proxy.table().routes().stream()
        .filter(route -> route.isApplied() && proxy.proposal().weight(route.endpoint()) <= 0)
        .filter(route -> !proxy.replacements().containsKey(route.endpoint()))
        .min(Comparator.comparingDouble(Route::weight));
  }

  /** Moves the targets towards the proposal; the sum of those that follow it stays. */
  void blendTargets(ProxyState proxy) {
    WeightProposal proposal = proxy.proposal();
    double influence = proposal.influence(clock.now());
    List<Route> routes =
        proxy.table().routes().stream()
            .filter(route -> route.isTargeted() && followsProposal(proxy, route.endpoint()))
            .toList();
    double targetSum = routes.stream().mapToDouble(Route::target).sum();
    double proposedSum =
        routes.stream().mapToDouble(route -> proposal.weight(route.endpoint())).sum();
    if (influence == 0 || proposedSum <= 0) {
      return;
    }
    for (Route route : routes) {
      double proposed = targetSum * proposal.weight(route.endpoint()) / proposedSum;
      double target = route.target() + influence * (proposed - route.target());
      route.setTarget(Math.max(Route.MIN_WEIGHT, target));
    }
    proxy.table().normalizeTargets();
  }

  private boolean followsProposal(ProxyState proxy, EndpointState endpoint) {
    return endpoint.isReady()
        && !endpoint.isExcluded()
        && endpoints.isWarm(endpoint)
        && endpoint.statistics().failureShare(proxy.zone())
            < EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE;
  }
}
