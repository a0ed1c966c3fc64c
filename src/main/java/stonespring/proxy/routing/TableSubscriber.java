package stonespring.proxy.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Turns published keys into whole updates: gathers what arrives until a commit says that an update
 * is complete, and notices at once when something is missing. It does no I/O; keys are relative to
 * the proxy's subtree, and the value of a deleted key is null.
 *
 * <p>A commit names its stream, counts the stream's updates and says how many keys the update
 * changed. An update out of sequence, or with another number of keys, means that something was
 * lost: nothing of it takes effect, and the snapshot has to be requested.
 */
public final class TableSubscriber {
  /** The key that ends an update. */
  public static final String COMMIT_KEY = "commit";

  /** An update with more keys is no route table. */
  private static final int MAX_KEYS = 100_000;

  /** What a key led to. */
  public sealed interface Step {
    /** Nothing yet. */
    record Gathered() implements Step {}

    /**
     * A whole update.
     *
     * @param stream the stream that it belongs to
     * @param fullState whether it is all that the stream has sent so far
     * @param changes values by key, in the order of arrival; null for a deleted key
     * @param ackId the number to acknowledge, or {@link Commit#NO_ACK}
     */
    record Update(String stream, boolean fullState, Map<String, String> changes, int ackId)
        implements Step {}

    /** Something is missing. */
    record Resync(String cause) implements Step {}

    /** The stream ended at the instance; what is held stands. */
    record Ended() implements Step {}
  }

  /**
   * A commit.
   *
   * @param stream the stream of updates that it belongs to
   * @param sequence counts the stream's updates, from 1
   * @param keys how many keys the update changed
   * @param ackId the number to acknowledge, or {@link #NO_ACK}
   */
  public record Commit(String stream, int sequence, int keys, int ackId) {
    /** In place of a number where no acknowledgement is requested. */
    public static final int NO_ACK = -1;
  }

  private static final Step GATHERED = new Step.Gathered();

  private final LinkedHashMap<String, String> pendingChanges = new LinkedHashMap<>();
  private String stream = "";
  private int sequence;

  /**
   * One key changed.
   *
   * @param value null if it was deleted
   * @param commit the decoded value if the key is {@link #COMMIT_KEY}, else null
   */
  public Step handleKeyChange(String key, String value, Commit commit) {
    if (!key.equals(COMMIT_KEY)) {
      return collect(key, value);
    }
    if (value == null) {
      pendingChanges.clear();
      return new Step.Ended();
    }
    return completeUpdate(commit);
  }

  private Step collect(String key, String value) {
    if (pendingChanges.size() >= MAX_KEYS) {
      pendingChanges.clear();
      return new Step.Resync("over " + MAX_KEYS + " keys came without a commit");
    }
    pendingChanges.remove(key);
    pendingChanges.put(key, value);
    return GATHERED;
  }

  private Step completeUpdate(Commit commit) {
    LinkedHashMap<String, String> changes = new LinkedHashMap<>(pendingChanges);
    pendingChanges.clear();
    int expectedSequence = commit.stream().equals(stream) ? sequence + 1 : 1;
    if (commit.sequence() != expectedSequence || commit.keys() != changes.size()) {
      return new Step.Resync(describeMismatch(commit, changes.size(), expectedSequence));
    }
    stream = commit.stream();
    sequence = commit.sequence();
    return new Step.Update(stream, sequence == 1, changes, commit.ackId());
  }

  private static String describeMismatch(Commit commit, int receivedKeys, int expectedSequence) {
    return String.format(
        "update %d of %s with %d of %d keys came where update %d was due",
        commit.sequence(), commit.stream(), receivedKeys, commit.keys(), expectedSequence);
  }

  /**
   * A whole snapshot.
   *
   * @param commit null if the stream has sent nothing yet
   */
  public Step handleSnapshot(Map<String, String> keys, Commit commit) {
    pendingChanges.clear();
    if (commit == null) {
      return GATHERED;
    }
    boolean isNewState = !commit.stream().equals(stream) || commit.sequence() != sequence;
    stream = commit.stream();
    sequence = commit.sequence();
    Map<String, String> changes = new LinkedHashMap<>(keys);
    changes.remove(COMMIT_KEY);
    // The snapshot is acknowledged too: the update that asked for it may never arrive.
    return isNewState ? new Step.Update(stream, true, changes, commit.ackId()) : GATHERED;
  }
}
