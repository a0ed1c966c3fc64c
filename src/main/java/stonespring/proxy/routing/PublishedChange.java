package stonespring.proxy.routing;

import java.util.Locale;
import stonespring.model.RetryPolicy;

/** One change of what an instance published for this proxy, read from a key and its value. */
sealed interface PublishedChange {
  /** The word in place of a table's number in a limit that holds for every table. */
  String ALL_TABLES = "every";

  /** A route was set, or removed if the weight is null. */
  record RouteChange(String table, String endpoint, Double weight) implements PublishedChange {}

  /** A request class uses a table from now on. */
  record TableAssignment(String requestClass, String table) implements PublishedChange {}

  /** An endpoint is excluded, or allowed again. */
  record Exclusion(String endpoint, boolean excluded) implements PublishedChange {}

  /** A limit was set, or removed if it is null. */
  record LimitChange(String table, String requestClass, AdmissionLimit limit)
      implements PublishedChange {}

  /** A key that this version does not know: a later one may publish more. */
  record Unknown() implements PublishedChange {}

  /** The highest weight or limit that is read. */
  double MAX_NUMBER = 1e12;

  /** The published word for {@link RetryPolicy#IF_NOT_EXECUTED}; the others have their names. */
  String IF_NOT_EXECUTED_WORD = "on_proof";

  /**
   * Reads a change.
   *
   * @param key relative to the proxy's subtree
   * @param value null if the key was deleted
   * @throws IllegalArgumentException if the key is known and its value can't be read
   */
  static PublishedChange read(String key, String value) {
    String[] segments = key.split("/", 3);
    return switch (segments[0]) {
      case "line" -> route(segments, value == null ? null : weight(key, value));
      case "level" -> limit(segments, value == null ? null : limit(key, value));
      case "bind" -> segments.length == 2 ? new TableAssignment(segments[1], value) : new Unknown();
      case "out" ->
          segments.length == 2 ? new Exclusion(segments[1], value != null) : new Unknown();
      default -> new Unknown();
    };
  }

  private static PublishedChange route(String[] segments, Double weight) {
    return segments.length == 3 ? new RouteChange(segments[1], segments[2], weight) : new Unknown();
  }

  private static PublishedChange limit(String[] segments, AdmissionLimit limit) {
    return segments.length == 3 ? new LimitChange(segments[1], segments[2], limit) : new Unknown();
  }

  private static double weight(String key, String value) {
    double weight = number(key, value);
    if (weight <= 0) {
      throw new IllegalArgumentException(key + ": a weight of " + value);
    }
    return weight;
  }

  private static double number(String key, String value) {
    try {
      double number = Double.parseDouble(value);
      if (number >= 0 && number < MAX_NUMBER) {
        return number;
      }
    } catch (NumberFormatException e) {
      // reported below, with the key
    }
    throw new IllegalArgumentException(key + ": '" + value + "' is no number from 0");
  }

  private static AdmissionLimit limit(String key, String value) {
    String[] words = value.split(" ");
    RetryPolicy policy = words.length == 2 ? retryPolicy(words[1]) : null;
    if (policy == null) {
      throw new IllegalArgumentException(
          key + ": '" + value + "' is no admission limit and retry policy");
    }
    return new AdmissionLimit(number(key, words[0]), policy);
  }

  private static RetryPolicy retryPolicy(String word) {
    for (RetryPolicy policy : RetryPolicy.values()) {
      String name =
          policy == RetryPolicy.IF_NOT_EXECUTED
              ? IF_NOT_EXECUTED_WORD
              : policy.name().toLowerCase(Locale.ROOT);
      if (name.equals(word)) {
        return policy;
      }
    }
    return null;
  }
}
