package stonespring.state;

import java.util.List;
import java.util.Optional;
import java.util.StringJoiner;
import stonespring.model.Command;
import stonespring.model.RequestClassId;
import stonespring.model.RetryPolicy;
import stonespring.model.RouteTableId;

/**
 * Encodes changes as published keys relative to the subtree of a proxy: {@code line/TABLE/ENDPOINT}
 * for a route, {@code bind/CLASS} for the table assigned to a request class, {@code
 * level/TABLE/CLASS} for an admission limit ({@code every} as the table denotes all tables) and
 * {@code out/ENDPOINT} for an exclusion. {@code docs/channel.md} describes the keys for developers
 * of proxies.
 */
public final class PublishedKeyCodec {
  private static final String ROUTE_PREFIX = "line/";
  private static final String ASSIGNED_TABLE_PREFIX = "bind/";
  private static final String LIMIT_PREFIX = "level/";
  private static final String EXCLUSION_PREFIX = "out/";
  private static final String ALL_TABLES_NAME = "every";
  private static final String EXCLUDED_VALUE = "1";

  private final List<String> requestClassNames;

  /**
   * Creates a codec.
   *
   * @param requestClassNames names of the request classes, in the order of the settings
   */
  public PublishedKeyCodec(List<String> requestClassNames) {
    this.requestClassNames = List.copyOf(requestClassNames);
  }

  /** Returns the key of a subject, relative to the subtree of the proxy. */
  public String key(ProxyChange.Subject subject) {
    if (subject instanceof ProxyChange.Subject.Route route) {
      return ROUTE_PREFIX + route.table().number() + "/" + route.endpoint().name();
    }
    if (subject instanceof ProxyChange.Subject.AssignedTable assigned) {
      return ASSIGNED_TABLE_PREFIX + requestClassName(assigned.requestClass());
    }
    if (subject instanceof ProxyChange.Subject.Limit limit) {
      return LIMIT_PREFIX + tableName(limit.table()) + "/" + requestClassName(limit.requestClass());
    }
    return EXCLUSION_PREFIX + ((ProxyChange.Subject.Exclusion) subject).endpoint().name();
  }

  /** Returns the value that a change sets, or empty if the change deletes the key. */
  public Optional<String> value(ProxyChange change) {
    if (change instanceof ProxyChange.RouteChange route) {
      return route.weight() > 0
          ? Optional.of(PlainDecimal.format(route.weight()))
          : Optional.empty();
    }
    if (change instanceof ProxyChange.TableAssignment assignment) {
      return Optional.of(String.valueOf(assignment.table().number()));
    }
    if (change instanceof ProxyChange.AdmissionLimitChange limit) {
      return limit.limit().map(PublishedKeyCodec::limitText);
    }
    return ((ProxyChange.ExclusionChange) change).excluded()
        ? Optional.of(EXCLUDED_VALUE)
        : Optional.empty();
  }

  /** Formats the keys and new values of an update for the log; a deleted key has the value null. */
  public String describe(ProxyUpdate update) {
    StringJoiner text = new StringJoiner(", ", "{", "}");
    for (ProxyChange change : update.changes()) {
      text.add(key(change.subject()) + "=" + value(change).orElse(null));
    }
    return text.toString();
  }

  private String requestClassName(RequestClassId requestClass) {
    return requestClassNames.get(requestClass.index());
  }

  private static String tableName(RouteTableId table) {
    return table.equals(Command.ALL_TABLES) ? ALL_TABLES_NAME : String.valueOf(table.number());
  }

  private static String limitText(AdmissionLimit limit) {
    return PlainDecimal.format(limit.limit()) + " " + retryPolicyName(limit.retryPolicy());
  }

  private static String retryPolicyName(RetryPolicy policy) {
    return switch (policy) {
      case NEVER -> "never";
      case IF_NOT_EXECUTED -> "on_proof";
      case ONCE_ON_FAILURE -> "once_on_failure";
      case TWICE_ON_FAILURE -> "twice_on_failure";
    };
  }
}
