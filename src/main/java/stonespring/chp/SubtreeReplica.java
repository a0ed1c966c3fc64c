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
  private boolean snapshotRequested;
  private boolean inSync;
  private boolean stopped;
  private long lastSequence = Long.MIN_VALUE;

  SubtreeReplica(ChpClient.Listener listener) {
    this.listener = listener;
  }

  /** Whether a snapshot was requested, also one that is complete. */
  boolean isSnapshotRequested() {
    return snapshotRequested;
  }

  /** Whether the snapshot is complete. */
  boolean isInSync() {
    return inSync;
  }

  /** A snapshot is requested now. */
  void startSnapshot() {
    snapshotRequested = true;
    snapshotKeys = new ArrayList<>();
  }

  /** A new snapshot is needed. */
  void markOutOfSync() {
    inSync = false;
    snapshotRequested = false;
  }

  /** Passes on nothing any more. */
  void stop() {
    stopped = true;
  }

  void addSnapshotKey(ChpMessage.KvSync key) {
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
  boolean completeSnapshot(long snapshotSequence) {
    if (!snapshotRequested || inSync) {
      return false;
    }
    inSync = true;
    lastSequence = snapshotSequence;
    List<ChpMessage.KvSync> keys = snapshotKeys;
    snapshotKeys = new ArrayList<>();
    listener.snapshotReceived(keys, lastSequence);
    // The listener may reset or stop this replica at any update.
    while (!bufferedUpdates.isEmpty() && inSync && !stopped) {
      apply(bufferedUpdates.poll());
    }
    return true;
  }

  /** Takes an update, which waits while there is no snapshot. */
  void applyOrBuffer(ChpMessage.KvPub update) {
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
    if (update.sequence() > lastSequence) {
      lastSequence = update.sequence();
      listener.updateReceived(update);
    }
  }
}
