package stonespring.chp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Merges the snapshot of a subtree with its updates: buffers updates until the snapshot is
 * complete, then passes each update that is newer than the snapshot to the listener, once and in
 * order. Not thread-safe.
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

  /** Returns whether a snapshot was requested; stays true once that snapshot is complete. */
  boolean isSnapshotRequested() {
    return snapshotRequested;
  }

  /** Returns whether the snapshot is complete, so that updates are passed on directly. */
  boolean isInSync() {
    return inSync;
  }

  /**
   * Discards keys of an earlier snapshot and starts to collect a new one. The caller then requests
   * the snapshot from the server.
   */
  void startSnapshot() {
    snapshotRequested = true;
    snapshotKeys = new ArrayList<>();
  }

  /** Buffers updates again until a new snapshot is requested and complete. */
  void markOutOfSync() {
    inSync = false;
    snapshotRequested = false;
  }

  /** Stops passing on buffered updates, as the session has ended. */
  void stop() {
    stopped = true;
  }

  void addSnapshotKey(ChpMessage.KvSync key) {
    if (snapshotKeys.size() >= MAX_SNAPSHOT_KEYS) {
      throw new InvalidChpMessageException(
          "the snapshot has more than " + MAX_SNAPSHOT_KEYS + " keys");
    }
    snapshotKeys.add(key);
  }

  /**
   * Passes the complete snapshot to the listener, then the buffered updates that are newer.
   *
   * @return false if no snapshot is in progress
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
    // During any update, the listener may resync or close the client, which calls markOutOfSync or
    // stop.
    while (!bufferedUpdates.isEmpty() && inSync && !stopped) {
      apply(bufferedUpdates.poll());
    }
    return true;
  }

  /** Passes on an update, or buffers it while the snapshot is incomplete. */
  void applyOrBuffer(ChpMessage.KvPub update) {
    if (inSync) {
      apply(update);
    } else if (bufferedUpdates.size() < MAX_BUFFERED_UPDATES) {
      bufferedUpdates.add(update);
    } else {
      throw new InvalidChpMessageException(
          "more than "
              + MAX_BUFFERED_UPDATES
              + " updates arrived before the snapshot was complete");
    }
  }

  private void apply(ChpMessage.KvPub update) {
    if (update.sequence() > lastSequence) {
      lastSequence = update.sequence();
      listener.updateReceived(update);
    }
  }
}
