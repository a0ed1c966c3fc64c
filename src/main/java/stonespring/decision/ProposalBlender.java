package stonespring.decision;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Moves the targets of tables towards the weights that the solver proposes. The older a proposal
 * is, the smaller its influence. Only warm and healthy endpoints follow a proposal; the others keep
 * the weights that this instance computes.
 */
final class ProposalBlender {
  private final EngineClock clock;
  private final EndpointRegistry endpoints;

  ProposalBlender(EngineClock clock, EndpointRegistry endpoints) {
    this.clock = clock;
    this.endpoints = endpoints;
  }

  /**
   * Schedules the replacement of the smallest route outside the proposal by the endpoint with the
   * largest proposed weight that the table lacks. At most one route is replaced for each proxy and
   * round, since routes cost channel entries.
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
        && !proxy.table().hasAppliedRouteTo(endpoint)
        && !proxy.replacements().containsValue(endpoint);
  }

  private static Optional<Route> smallestRouteOutsideProposal(ProxyState proxy) {
    return proxy.table().routes().stream()
        .filter(route -> route.isApplied() && proxy.proposal().weight(route.endpoint()) <= 0)
        .filter(route -> !proxy.replacements().containsKey(route.endpoint()))
        .min(Comparator.comparingDouble(Route::weight));
  }

  /**
   * Moves the targets towards the proposal. The sum of the targets that follow the proposal stays
   * the same.
   */
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

  /**
   * Returns whether the proposed weight of an endpoint counts: it is warm, healthy and not
   * excluded.
   */
  private boolean followsProposal(ProxyState proxy, EndpointState endpoint) {
    return endpoint.isReady()
        && !endpoint.isExcluded()
        && endpoints.isWarm(endpoint)
        && endpoint.statistics().failureShare(proxy.zone())
            < EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE;
  }
}
