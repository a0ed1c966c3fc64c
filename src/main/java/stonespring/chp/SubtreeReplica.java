package stonespring.chp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's view of a subtree: collects a snapshot, buffers updates meanwhile, and passes on each
 * update once, in order. Not thread-safe.
 */
final class SubtreeReplica {
  private static final int MAX_BUFFERED_UPDATES = 100_000;
  private static final int MAX_SNAPSHOT_KEYS = 1_000_000;

  private final ChpClient.Listener listener;
  private final ArrayDeque<ChpMessage.KvPub> bufferedUpdates = new ArrayDeque<>();
  private List<ChpMessage.KvSync> snapshotKeys = new ArrayList<>();
  private boolean requested;
  private boolean inSync;
  private boolean stopped;
  private long sequence = Long.MIN_VALUE;

  SubtreeReplica(ChpClient.Listener listener) {
    this.listener = listener;
  }

  /** Whether a snapshot was requested, also one that is complete. */
  boolean isRequested() {
    return requested;
  }

  /** Whether the snapshot is complete. */
  boolean isInSync() {
    return inSync;
  }

  /** A snapshot is requested now. */
  void snapshotRequested() {
    requested = true;
    snapshotKeys = new ArrayList<>();
  }

  /** A new snapshot is needed. */
  void reset() {
    inSync = false;
    requested = false;
  }

  /** Passes on nothing any more. */
  void stop() {
    stopped = true;
  }

  void addKey(ChpMessage.KvSync key) {
    if (snapshotKeys.size() >= MAX_SNAPSHOT_KEYS) {
      throw new InvalidChpMessageException("over " + MAX_SNAPSHOT_KEYS + " keys");
    }
    snapshotKeys.add(key);
  }

  /**
   * The snapshot is complete: passes it on, then the updates that it does not contain.
   *
   * @return false if no snapshot is under way
   */
  boolean complete(long snapshotSequence) {
    if (!requested || inSync) {
      return false;
    }
    inSync = true;
    sequence = snapshotSequence;
    List<ChpMessage.KvSync> keys = snapshotKeys;
    snapshotKeys = new ArrayList<>();
    listener.snapshotReceived(keys, sequence);
    // The listener may reset or stop this replica at any update.
    while (!bufferedUpdates.isEmpty() && inSync && !stopped) {
      apply(bufferedUpdates.poll());
    }
    return true;
  }

  /** Takes an update, which waits while there is no snapshot. */
  void update(ChpMessage.KvPub update) {
    if (inSync) {
      apply(update);
    } else if (bufferedUpdates.size() < MAX_BUFFERED_UPDATES) {
      bufferedUpdates.add(update);
    } else {
      throw new InvalidChpMessageException(
          "over " + MAX_BUFFERED_UPDATES + " updates came before the snapshot ended");
    }
  }

  private void apply(ChpMessage.KvPub update) {
    if (update.sequence() > sequence) {
      sequence = update.sequence();
      listener.updateReceived(update);
    }
  }
}
