package stonespring.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The published keys with their sequence numbers, which rise strictly. Not safe for several
 * threads.
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
   * @param sequence the highest sequence number that an earlier run may have given out
   * @param maxKeys the most keys that it holds
   */
  public KeyStore(long sequence, int maxKeys) {
    this.sequence = sequence;
    this.maxKeys = maxKeys;
  }

  /**
   * Sets a key; an empty value deletes it.
   *
   * @return the update, or empty if the store is full: then nothing changed
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

  /** Deletes a key; there is an update even if the key did not exist. */
  public KeyUpdate delete(String key) {
    entries.remove(key);
    return new KeyUpdate(key, ++sequence, DELETED);
  }

  /** Drops a subtree without updates: for keys that nobody follows any more. */
  public void discardSubtree(String subtree) {
    entriesOf(subtree).clear();
  }

  /** The keys of a subtree as they stand, by name; the empty subtree is the whole store. */
  public List<KeyUpdate> snapshot(String subtree) {
    List<KeyUpdate> keys = new ArrayList<>();
    for (Map.Entry<String, Entry> entry : entriesOf(subtree).entrySet()) {
      keys.add(
          new KeyUpdate(entry.getKey(), entry.getValue().sequence(), entry.getValue().value()));
    }
    return keys;
  }

  private NavigableMap<String, Entry> entriesOf(String subtree) {
    return subtree.isEmpty()
        ? entries
        : entries.subMap(subtree, true, subtree + Character.MAX_VALUE, false);
  }

  /** Whether the key has a value. */
  public boolean contains(String key) {
    return entries.containsKey(key);
  }

  /** The highest sequence number given out. */
  public long sequence() {
    return sequence;
  }
}
