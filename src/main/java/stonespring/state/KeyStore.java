package stonespring.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The published keys with their sequences: what a snapshot shows and updates change. Sequences rise
 * strictly. Not safe for several threads.
 */
public final class KeyStore {
  private record Held(byte[] value, long sequence) {}

  private static final byte[] NONE = new byte[0];

  private final TreeMap<String, Held> keys = new TreeMap<>();
  private final int keysMost;
  private long sequence;

  /**
   * @param sequence the highest that an earlier run may have given out; @param keysMost the bound
   *     on keys
   */
  public KeyStore(long sequence, int keysMost) {
    this.sequence = sequence;
    this.keysMost = keysMost;
  }

  /** Sets a key; null where there is no room for one key more: then nothing changes. */
  public KeyUpdate put(String key, byte[] value) {
    if (value.length == 0) {
      return delete(key);
    }
    if (!keys.containsKey(key) && keys.size() >= keysMost) {
      return null;
    }
    keys.put(key, new Held(value, ++sequence));
    return new KeyUpdate(key, sequence, value);
  }

  /** Deletes a key; the update tells so also where the key did not stand. */
  public KeyUpdate delete(String key) {
    keys.remove(key);
    return new KeyUpdate(key, ++sequence, NONE);
  }

  /** Drops a subtree without a word: for keys that nobody follows any more. */
  public void forget(String subtree) {
    under(subtree).clear();
  }

  /** The keys of a subtree as they stand, by name. */
  public List<KeyUpdate> snapshot(String subtree) {
    List<KeyUpdate> all = new ArrayList<>();
    for (Map.Entry<String, Held> entry : under(subtree).entrySet()) {
      all.add(new KeyUpdate(entry.getKey(), entry.getValue().sequence, entry.getValue().value));
    }
    return all;
  }

  private NavigableMap<String, Held> under(String subtree) {
    return subtree.isEmpty()
        ? keys
        : keys.subMap(subtree, true, subtree + Character.MAX_VALUE, false);
  }

  public boolean has(String key) {
    return keys.containsKey(key);
  }

  /** The highest sequence given out. */
  public long sequence() {
    return sequence;
  }
}
