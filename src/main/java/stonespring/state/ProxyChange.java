package stonespring.state;

import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.model.RouteTableId;

/** A change of the state that a proxy holds. Immutable; no component is null. */
public sealed interface ProxyChange {
  /** Returns the element that changes; a later change with an equal subject replaces this one. */
  Subject subject();

  /** An element of the state of a proxy. Each change replaces the element as a whole. */
  sealed interface Subject {
    /** The route of a table to an endpoint. */
    record Route(RouteTableId table, EndpointId endpoint) implements Subject {}

    /** The table that the proxy uses for a request class. */
    record AssignedTable(RequestClassId requestClass) implements Subject {}

    /**
     * The admission limit of a request class.
     *
     * @param table the table to which the limit applies, or {@link
     *     stonespring.model.Command#ALL_TABLES}
     */
    record Limit(RouteTableId table, RequestClassId requestClass) implements Subject {}

    /** Whether an endpoint is excluded. */
    record Exclusion(EndpointId endpoint) implements Subject {}
  }

  /**
   * Sets or removes a route.
   *
   * @param weight weight of the route; finite; 0 removes the route
   */
  record RouteChange(RouteTableId table, EndpointId endpoint, double weight)
      implements ProxyChange {
    /** Rejects a weight that is not finite, since it has no decimal form. */
    public RouteChange {
      if (!Double.isFinite(weight)) {
        throw new IllegalArgumentException(
            "route of table "
                + table.number()
                + " to endpoint "
                + endpoint.name()
                + ": weight must be finite, got "
                + weight);
      }
    }

    @Override
    public Subject subject() {
      return new Subject.Route(table, endpoint);
    }
  }

  /** Makes the proxy use the table for the request class. */
  record TableAssignment(RequestClassId requestClass, RouteTableId table) implements ProxyChange {
    @Override
    public Subject subject() {
      return new Subject.AssignedTable(requestClass);
    }
  }

  /**
   * Sets or removes the admission limit of a request class.
   *
   * @param table the table to which the limit applies, or {@link
   *     stonespring.model.Command#ALL_TABLES}
   * @param limit the new limit; empty if the limit is removed
   */
  record AdmissionLimitChange(
      RouteTableId table, RequestClassId requestClass, Optional<AdmissionLimit> limit)
      implements ProxyChange {
    @Override
    public Subject subject() {
      return new Subject.Limit(table, requestClass);
    }
  }

  /** Excludes an endpoint, or ends its exclusion. */
  record ExclusionChange(EndpointId endpoint, boolean excluded) implements ProxyChange {
    @Override
    public Subject subject() {
      return new Subject.Exclusion(endpoint);
    }
  }
}
