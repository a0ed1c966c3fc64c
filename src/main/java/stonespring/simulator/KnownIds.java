package stonespring.simulator;

import java.util.HashSet;
import java.util.Set;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.simulator.WireNames.CommandName;

/**
 * The ids of the endpoints and proxies that an instance has received in events. The simulator
 * aborts its run if a command contains any other id. {@link #check} rejects such a command earlier,
 * with an error that names the id.
 */
final class KnownIds {
  private final Set<EndpointId> endpoints = new HashSet<>();
  private final Set<ProxyId> proxies = new HashSet<>();

  void clear() {
    endpoints.clear();
    proxies.clear();
  }

  /** Adds the ids that an event contains. */
  void addIdsOf(Event event) {
    if (event instanceof Event.EndpointListUpdate update) {
      update.endpoints().forEach(entry -> endpoints.add(entry.endpoint()));
    } else if (event instanceof Event.ShardRoute route) {
      endpoints.add(route.endpoint());
    } else if (event instanceof Event.EndpointOutcomes outcomes) {
      endpoints.add(outcomes.endpoint());
    } else if (event instanceof Event.ProxyConnected connected) {
      proxies.add(connected.proxy());
    }
  }

  /**
   * Checks that events have contained the ids of a command.
   *
   * @throws SimulatorProtocolException if no event has contained one of the ids
   */
  void check(Command command) {
    if (command instanceof Command.SetRoute route) {
      checkEndpoint(CommandName.SET_ROUTE, route.endpoint());
    } else if (command instanceof Command.ExcludeEndpoint exclusion) {
      checkEndpoint(CommandName.EXCLUDE_ENDPOINT, exclusion.endpoint());
    } else if (command instanceof Command.HealthCheck healthCheck) {
      checkEndpoint(CommandName.HEALTH_CHECK, healthCheck.endpoint());
    } else if (command instanceof Command.AssignRouteTable assignment) {
      checkProxy(assignment.proxy());
    }
  }

  private void checkEndpoint(String commandName, EndpointId endpoint) {
    if (!endpoints.contains(endpoint)) {
      throw new SimulatorProtocolException(
          "command '"
              + commandName
              + "': field '"
              + WireNames.Field.ENDPOINT
              + "': expected an endpoint known from an event, found "
              + endpoint.name());
    }
  }

  private void checkProxy(ProxyId proxy) {
    if (!proxies.contains(proxy)) {
      throw new SimulatorProtocolException(
          "command '"
              + CommandName.ASSIGN_ROUTE_TABLE
              + "': field '"
              + WireNames.Field.PROXY
              + "': expected a proxy that has connected, found "
              + proxy.number());
    }
  }
}
