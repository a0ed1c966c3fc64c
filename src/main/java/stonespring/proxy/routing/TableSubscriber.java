package stonespring.proxy.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Assembles published keys into complete updates: collects changes until a commit marks the update
 * as complete, and uses the commit to detect lost changes. It does no I/O; keys are relative to the
 * proxy's subtree, and the value of a deleted key is null.
 *
 * <p>A commit holds its stream, the sequence number of the update within the stream and the number
 * of keys that the update changed. If the sequence number or the number of keys differs from what
 * was expected, changes were lost: the update is discarded, and the snapshot must be requested.
 */
public final class TableSubscriber {
  /** The key that completes an update. */
  public static final String COMMIT_KEY = "commit";

  /** Maximum number of keys in an update. One with more keys cannot be a route table. */
  private static final int MAX_KEYS = 100_000;

  /** The result of handling a key or a snapshot. */
  public sealed interface Step {
    /**
     * There is nothing to apply: the update is not complete, or the snapshot contains no change.
     */
    record Gathered() implements Step {}

    /**
     * A complete update that must be applied.
     *
     * @param stream the stream that it belongs to
     * @param fullState whether the update replaces everything that the stream has sent before
     * @param changes values by key, in the order of their last arrival; the value is null for a
     *     deleted key
     * @param ackId the number to acknowledge, or {@link Commit#NO_ACK}
     */
    record Update(String stream, boolean fullState, Map<String, String> changes, int ackId)
        implements Step {}

    /** The received changes are incomplete or invalid, and the snapshot must be requested. */
    record Resync(String cause) implements Step {}

    /** The instance ended the stream; the tables received so far stay in force. */
    record Ended() implements Step {}
  }

  /**
   * A commit.
   *
   * @param stream the stream of updates that it belongs to
   * @param sequence number of the update within the stream, from 1
   * @param keys number of keys that the update changed
   * @param ackId the number to acknowledge, or {@link #NO_ACK}
   */
  public record Commit(String stream, int sequence, int keys, int ackId) {
    /** Used in place of a number if no acknowledgement is requested. */
    public static final int NO_ACK = -1;
  }

  private static final Step GATHERED = new Step.Gathered();

  private final LinkedHashMap<String, String> pendingChanges = new LinkedHashMap<>();
  private String stream = "";
  private int sequence;

  /**
   * Handles a change of one key.
   *
   * @param value the new value, or null if the key was deleted
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
      return new Step.Resync("received more than " + MAX_KEYS + " keys without a commit");
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
        "received update %d of stream '%s' with %d of %d keys, expected update %d",
        commit.sequence(), commit.stream(), receivedKeys, commit.keys(), expectedSequence);
  }

  /**
   * Handles a complete snapshot, which replaces the changes collected so far.
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
    // The snapshot is acknowledged as well, because the update that requested the acknowledgement
    // may never arrive.
    return isNewState ? new Step.Update(stream, true, changes, commit.ackId()) : GATHERED;
  }
}
