package stonespring.state;

import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.model.RouteTableId;

/** One change of what a proxy holds. Immutable; no component is null. */
public sealed interface ProxyChange {
  /** What is changed: of two changes with equal subjects the later one stands. */
  Subject subject();

  /** Something that a proxy holds and that changes as a whole. */
  sealed interface Subject {
    /** A route of a table. */
    record Route(RouteTableId table, EndpointId endpoint) implements Subject {}

    /** The table that the proxy uses for a request class. */
    record AssignedTable(RequestClassId requestClass) implements Subject {}

    /**
     * The admission limit of a request class.
     *
     * @param table the table that it holds for, or {@link stonespring.model.Command#ALL_TABLES}
     */
    record Limit(RouteTableId table, RequestClassId requestClass) implements Subject {}

    /** Whether an endpoint is excluded. */
    record Exclusion(EndpointId endpoint) implements Subject {}
  }

  /**
   * A route is set or removed.
   *
   * @param weight finite; 0 removes the route
   */
  record RouteChange(RouteTableId table, EndpointId endpoint, double weight)
      implements ProxyChange {
    /** Checks that the weight can be written as a decimal. */
    public RouteChange {
      if (!Double.isFinite(weight)) {
        throw new IllegalArgumentException("route to " + endpoint + ": weight " + weight);
      }
    }

    @Override
    public Subject subject() {
      return new Subject.Route(table, endpoint);
    }
  }

  /** The proxy uses the table for the request class. */
  record TableAssignment(RequestClassId requestClass, RouteTableId table) implements ProxyChange {
    @Override
    public Subject subject() {
      return new Subject.AssignedTable(requestClass);
    }
  }

  /**
   * The admission limit of a request class is set or removed.
   *
   * @param table the table that it holds for, or {@link stonespring.model.Command#ALL_TABLES}
   * @param limit the limit, or empty if it is removed
   */
  record AdmissionLimitChange(
      RouteTableId table, RequestClassId requestClass, Optional<AdmissionLimit> limit)
      implements ProxyChange {
    @Override
    public Subject subject() {
      return new Subject.Limit(table, requestClass);
    }
  }

  /** An endpoint is excluded, or allowed again. */
  record ExclusionChange(EndpointId endpoint, boolean excluded) implements ProxyChange {
    @Override
    public Subject subject() {
      return new Subject.Exclusion(endpoint);
    }
  }
}
