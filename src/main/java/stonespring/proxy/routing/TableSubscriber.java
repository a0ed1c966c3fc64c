package stonespring.proxy.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keys to whole messages: gathers what comes until a commit says that a message is whole, and tells
 * at once when one is missing. It does no I/O; the keys that it is given are relative to the
 * proxy's subtree, an absent value is null.
 *
 * <p>A commit names its stream ({@code origin}), counts the stream's messages ({@code at}) and says
 * how many keys the message changed ({@code keys}). A message out of count, or with other keys than
 * it says, means that something was lost: nothing of it takes effect and the snapshot is to be
 * asked anew.
 */
public final class TableSubscriber {
  /** What a key led to. */
  public sealed interface Step {
    /** Nothing yet. */
    record Gathered() implements Step {}

    /**
     * A whole message; with {@code whole} it is all that the stream ordered so far. {@code mark}
     * -1: none.
     */
    record Message(String origin, boolean whole, Map<String, String> changes, int mark)
        implements Step {}

    /** Something is missing. */
    record Resync(String cause) implements Step {}

    /** The stream ended at the assigner; what is held stands. */
    record Ended() implements Step {}
  }

  /** A commit as it came. */
  public record Commit(String origin, int at, int keys, int mark) {}

  private static final Step GATHERED = new Step.Gathered();
  private static final int KEYS_MOST = 100_000; // keys of one message; more is no table

  private final LinkedHashMap<String, String> gathered = new LinkedHashMap<>();
  private String origin = "";
  private int at;

  /** One update; {@code commit} is set where the key is the commit. */
  public Step update(String key, String value, Commit commit) {
    if (!key.equals("commit")) {
      if (gathered.size() >= KEYS_MOST) {
        gathered.clear();
        return new Step.Resync("over " + KEYS_MOST + " keys came without a commit");
      }
      gathered.remove(key);
      gathered.put(key, value);
      return GATHERED;
    }
    if (value == null) {
      gathered.clear();
      return new Step.Ended();
    }
    LinkedHashMap<String, String> changes = new LinkedHashMap<>(gathered);
    gathered.clear();
    int expected = commit.origin().equals(origin) ? at + 1 : 1;
    if (commit.at() != expected || commit.keys() != changes.size()) {
      return new Step.Resync(
          "message "
              + commit.at()
              + " of "
              + commit.origin()
              + " with "
              + changes.size()
              + " of "
              + commit.keys()
              + " keys came where message "
              + expected
              + " was due");
    }
    origin = commit.origin();
    at = commit.at();
    return new Step.Message(origin, at == 1, changes, commit.mark());
  }

  /** A whole snapshot; without a commit nothing was ordered yet. */
  public Step snapshot(Map<String, String> keys, Commit commit) {
    gathered.clear();
    if (commit == null) {
      return GATHERED;
    }
    boolean news = !commit.origin().equals(origin) || commit.at() != at;
    origin = commit.origin();
    at = commit.at();
    Map<String, String> changes = new LinkedHashMap<>(keys);
    changes.remove("commit");
    // What the mark asks is answered from the snapshot too: the message that carried it may never
    // come.
    return news ? new Step.Message(origin, true, changes, commit.mark()) : GATHERED;
  }
}
