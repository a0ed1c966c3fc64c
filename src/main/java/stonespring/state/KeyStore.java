package stonespring.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The published keys and their values. Each update has a sequence number higher than all before it.
 * Not thread-safe.
 */
public final class KeyStore {
  private static final byte[] DELETED = new byte[0];

  private record Entry(byte[] value, long sequence) {}

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final int maxKeys;
  private long sequence;

  /**
   * Creates an empty store.
   *
   * @param sequence the highest sequence number that an earlier run may have assigned
   * @param maxKeys maximum number of keys
   */
  public KeyStore(long sequence, int maxKeys) {
    this.sequence = sequence;
    this.maxKeys = maxKeys;
  }

  /**
   * Sets a key; an empty value deletes it.
   *
   * @return the update; empty if the key is new and the store is full, in which case nothing
   *     changes
   */
  public Optional<KeyUpdate> put(String key, byte[] value) {
    if (value.length == 0) {
      return Optional.of(delete(key));
    }
    if (!entries.containsKey(key) && entries.size() >= maxKeys) {
      return Optional.empty();
    }
    entries.put(key, new Entry(value, ++sequence));
    return Optional.of(new KeyUpdate(key, sequence, value));
  }

  /** Deletes a key; returns an update even if the key did not exist. */
  public KeyUpdate delete(String key) {
    entries.remove(key);
    return new KeyUpdate(key, ++sequence, DELETED);
  }

  /** Removes the keys of a subtree without updates, for keys that have no subscriber any more. */
  public void discardSubtree(String subtree) {
    entriesIn(subtree).clear();
  }

  /**
   * Returns the current keys of a subtree, ordered by name.
   *
   * @param subtree prefix of the keys; the empty string selects the whole store
   */
  public List<KeyUpdate> snapshot(String subtree) {
    List<KeyUpdate> keys = new ArrayList<>();
    for (Map.Entry<String, Entry> entry : entriesIn(subtree).entrySet()) {
      keys.add(
          new KeyUpdate(entry.getKey(), entry.getValue().sequence(), entry.getValue().value()));
    }
    return keys;
  }

  private NavigableMap<String, Entry> entriesIn(String subtree) {
    return subtree.isEmpty()
        ? entries
        : entries.subMap(subtree, true, subtree + Character.MAX_VALUE, false);
  }

  /** Whether the key has a value. */
  public boolean contains(String key) {
    return entries.containsKey(key);
  }

  /** Returns the highest sequence number assigned. */
  public long sequence() {
    return sequence;
  }
}
