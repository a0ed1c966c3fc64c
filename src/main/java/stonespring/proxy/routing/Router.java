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
 * A proxy's routing: applies the updates that it receives and answers, for each request, whether it
 * is admitted ({@link AdmissionLimiter}), where it goes ({@link EndpointPicker}) and whether it may
 * be repeated ({@link RetryRule}). The same calls in the same order give the same answers.
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

  /** Starts without any route. */
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

  /** Sets the table that the proxy starts with, for all request classes alike. */
  public void useBootstrapRoutes(List<EndpointId> bootstrap) {
    tables.addBootstrapRoutes(bootstrap);
    refreshRoutes();
  }

  /**
   * Applies a whole update.
   *
   * @throws IllegalArgumentException if a known key's value can't be read; nothing has changed then
   */
  public void apply(TableSubscriber.Step.Update update) {
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

  /** Whether one request of this class is admitted now. */
  public boolean admit(RequestClassId requestClass, long now) {
    int k = requestClass.index();
    return limiter.admit(k, tables.limit(k), now);
  }

  /**
   * Where a request of this class goes. Until {@link #recordAttemptEnd} it counts as in flight
   * there.
   *
   * @param avoidedEndpoint an endpoint that an earlier attempt failed at; null for none
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

  /** An attempt ended. */
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

  /** The endpoints that any table names, excluded ones too: connections to others can be closed. */
  public TreeSet<String> namedEndpoints() {
    TreeSet<String> named = new TreeSet<>();
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      named.addAll(tables.routes(k).keySet());
    }
    return named;
  }

  /** Weights by endpoint that hold for a request class; for tests and views. */
  public Map<String, Double> weights(RequestClassId requestClass) {
    Map<String, Double> weights = new TreeMap<>();
    for (EndpointPicker.Route route : routesByClass.get(requestClass.index())) {
      weights.put(endpoints.endpoint(route.endpoint()).name(), route.weight());
    }
    return weights;
  }

  /** Whether no update was ever applied: at most the bootstrap routes are held. */
  public boolean isWithoutTables() {
    return withoutTables;
  }
}
