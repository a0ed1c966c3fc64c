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

  /** Maximum number of keys in an update. A larger update cannot be a route table. */
  private static final int MAX_KEYS = 100_000;

  /** The result of handling a key or a snapshot. */
  public sealed interface Result {
    /**
     * There is nothing to apply: the update is not complete, or the snapshot contains no state
     * newer than the last update.
     */
    record NothingToApply() implements Result {}

    /**
     * A complete update to apply.
     *
     * @param stream the stream that it belongs to
     * @param fullState whether the update replaces everything that the stream has sent before
     * @param changes values by key, in the order of their last arrival; the value is null for a
     *     deleted key
     * @param ackId the number to send in the acknowledgement, or {@link Commit#NO_ACK}
     */
    record Update(String stream, boolean fullState, Map<String, String> changes, int ackId)
        implements Result {}

    /** The received changes are incomplete or invalid, and the snapshot must be requested. */
    record Resync(String cause) implements Result {}

    /** The instance ended the stream; the tables received so far stay in force. */
    record StreamEnded() implements Result {}
  }

  /**
   * A commit.
   *
   * @param stream the stream of updates that it belongs to
   * @param sequence number of the update within the stream, from 1
   * @param keys number of keys that the update changed
   * @param ackId the number to send in the acknowledgement, or {@link #NO_ACK}
   */
  public record Commit(String stream, int sequence, int keys, int ackId) {
    /** Value of {@code ackId} if no acknowledgement is requested. */
    public static final int NO_ACK = -1;
  }

  private static final Result NOTHING_TO_APPLY = new Result.NothingToApply();

  private final LinkedHashMap<String, String> pendingChanges = new LinkedHashMap<>();
  private String stream = "";
  private int sequence;

  /**
   * Handles a change of one key.
   *
   * @param value the new value, or null if the key was deleted
   * @param commit the decoded value if the key is {@link #COMMIT_KEY}, else null
   */
  public Result handleKeyChange(String key, String value, Commit commit) {
    if (!key.equals(COMMIT_KEY)) {
      return collect(key, value);
    }
    if (value == null) {
      pendingChanges.clear();
      return new Result.StreamEnded();
    }
    return completeUpdate(commit);
  }

  private Result collect(String key, String value) {
    if (pendingChanges.size() >= MAX_KEYS) {
      pendingChanges.clear();
      return new Result.Resync("received more than " + MAX_KEYS + " keys without a commit");
    }
    pendingChanges.remove(key);
    pendingChanges.put(key, value);
    return NOTHING_TO_APPLY;
  }

  private Result completeUpdate(Commit commit) {
    LinkedHashMap<String, String> changes = new LinkedHashMap<>(pendingChanges);
    pendingChanges.clear();
    int expectedSequence = commit.stream().equals(stream) ? sequence + 1 : 1;
    if (commit.sequence() != expectedSequence || commit.keys() != changes.size()) {
      return new Result.Resync(describeMismatch(commit, changes.size(), expectedSequence));
    }
    stream = commit.stream();
    sequence = commit.sequence();
    return new Result.Update(stream, sequence == 1, changes, commit.ackId());
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
  public Result handleSnapshot(Map<String, String> keys, Commit commit) {
    pendingChanges.clear();
    if (commit == null) {
      return NOTHING_TO_APPLY;
    }
    boolean isNewState = !commit.stream().equals(stream) || commit.sequence() != sequence;
    stream = commit.stream();
    sequence = commit.sequence();
    Map<String, String> changes = new LinkedHashMap<>(keys);
    changes.remove(COMMIT_KEY);
    // The snapshot is acknowledged as well, because the update that requested the acknowledgement
    // may never arrive.
    return isNewState ? new Result.Update(stream, true, changes, commit.ackId()) : NOTHING_TO_APPLY;
  }
}
