package stonespring.proxy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.DeterministicRandom;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;

/**
 * A proxy's routing: applies received updates and decides, for each request, whether it is admitted
 * ({@link AdmissionLimiter}), to which endpoint it is sent ({@link EndpointPicker}) and whether it
 * may be retried ({@link RetryRule}). It is deterministic: with the same seed, the same sequence of
 * calls gives the same results.
 */
public final class Router {
  private final RouterSettings settings;
  private final EndpointStates endpoints = new EndpointStates();
  private final ReceivedTables tables;
  private final AdmissionLimiter limiter;
  private final EndpointPicker picker;
  private final OutlierEjector ejector;
  private final RetryRule retryRule;
  private final List<List<EndpointPicker.Route>> routesByClass = new ArrayList<>();
  private boolean withoutTables = true;

  /** Creates a router without routes. */
  public Router(RouterSettings settings, long seed) {
    DeterministicRandom random = new DeterministicRandom(seed);
    this.settings = settings;
    this.tables = new ReceivedTables(settings.requestClasses());
    this.limiter =
        new AdmissionLimiter(settings.limitKind(), settings.requestClasses().size(), random);
    this.picker = new EndpointPicker(settings.picking(), endpoints, random);
    this.ejector = new OutlierEjector(settings, endpoints, random);
    this.retryRule = new RetryRule(settings);
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      routesByClass.add(List.of());
    }
  }

  /** Adds routes of equal weight to the bootstrap endpoints, for every request class. */
  public void useBootstrapRoutes(List<EndpointId> bootstrap) {
    tables.addBootstrapRoutes(bootstrap);
    refreshRoutes();
  }

  /**
   * Applies a complete update, all of it or nothing.
   *
   * @throws IllegalArgumentException if the value of a known key is malformed; the router is
   *     unchanged then
   */
  public void apply(TableSubscriber.Result.Update update) {
    List<PublishedChange> changes = new ArrayList<>();
    update.changes().forEach((key, value) -> changes.add(PublishedChange.read(key, value)));
    if (update.fullState()) {
      tables.beginFullState(update.stream());
    }
    changes.forEach(tables::apply);
    withoutTables = false;
    refreshRoutes();
  }

  private void refreshRoutes() {
    for (int k = 0; k < routesByClass.size(); k++) {
      List<EndpointPicker.Route> routes = new ArrayList<>();
      for (Map.Entry<String, Double> route : tables.routes(k).entrySet()) {
        if (!tables.isExcluded(k, route.getKey())) {
          int endpoint = endpoints.indexOf(route.getKey());
          routes.add(new EndpointPicker.Route(endpoint, route.getValue()));
        }
      }
      routesByClass.set(k, routes);
    }
  }

  /** Decides whether one request of this class is admitted now. */
  public boolean admit(RequestClassId requestClass, long now) {
    int k = requestClass.index();
    return limiter.admit(k, tables.limit(k), now);
  }

  /**
   * Picks the endpoint for an attempt. The attempt counts as in flight there until {@link
   * #recordAttemptEnd}.
   *
   * @param avoidedEndpoint an endpoint to leave out because an earlier attempt failed there, or
   *     null
   * @return empty if no route is left
   */
  public Optional<EndpointId> pick(
      RequestClassId requestClass, EndpointId avoidedEndpoint, long now) {
    int avoidedIndex =
        avoidedEndpoint == null
            ? EndpointStates.NONE
            : endpoints.indexIfKnown(avoidedEndpoint.name());
    int pickedIndex = picker.pick(routesByClass.get(requestClass.index()), avoidedIndex, now);
    if (pickedIndex == EndpointStates.NONE) {
      return Optional.empty();
    }
    endpoints.incrementInFlight(pickedIndex);
    return Optional.of(endpoints.endpoint(pickedIndex));
  }

  /** Records the end of an attempt. */
  public void recordAttemptEnd(EndpointId endpoint, boolean succeeded, long now) {
    int index = endpoints.indexOf(endpoint.name());
    endpoints.decrementInFlight(index);
    ejector.recordOutcome(index, succeeded, now);
  }

  /** Whether another attempt may be made. */
  public boolean mayRetry(RequestClassId requestClass, RequestProgress request, long now) {
    int k = requestClass.index();
    return retryRule.mayRetry(k, request, tables.limit(k), now);
  }

  /**
   * The endpoints named by the tables in force, excluded ones included. Connections to any other
   * endpoint can be closed.
   */
  public TreeSet<String> namedEndpoints() {
    TreeSet<String> named = new TreeSet<>();
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      named.addAll(tables.routes(k).keySet());
    }
    return named;
  }

  /** The weights in force for a request class by endpoint, without excluded endpoints. */
  public Map<String, Double> weights(RequestClassId requestClass) {
    Map<String, Double> weights = new TreeMap<>();
    for (EndpointPicker.Route route : routesByClass.get(requestClass.index())) {
      weights.put(endpoints.endpoint(route.endpoint()).name(), route.weight());
    }
    return weights;
  }

  /**
   * Whether no update has been applied yet, so that the router holds at most the bootstrap routes.
   */
  public boolean isWithoutTables() {
    return withoutTables;
  }
}
