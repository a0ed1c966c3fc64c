package stonespring.state;

import java.util.Locale;
import stonespring.model.RetryPolicy;

/** The words that published keys have for retry policies. */
public final class RetryPolicyNames {
  private static final String IF_NOT_EXECUTED = "on_proof";

  private RetryPolicyNames() {}

  /** The word for a policy. */
  public static String name(RetryPolicy policy) {
    return policy == RetryPolicy.IF_NOT_EXECUTED
        ? IF_NOT_EXECUTED
        : policy.name().toLowerCase(Locale.ROOT);
  }

  /**
   * The policy of a word.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static RetryPolicy policy(String name) {
    for (RetryPolicy policy : RetryPolicy.values()) {
      if (name(policy).equals(name)) {
        return policy;
      }
    }
    throw new IllegalArgumentException("no retry policy has the name " + name);
  }
}
