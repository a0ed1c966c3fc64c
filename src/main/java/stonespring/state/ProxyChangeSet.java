package stonespring.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The ordered changes of an update that is being built, at most one for each subject. */
final class ProxyChangeSet {
  private final Map<ProxyChange.Subject, ProxyChange> changes = new LinkedHashMap<>();

  /**
   * Adds a change. It takes the position of an earlier change with the same subject, or the last
   * position if there is none.
   */
  void putInPlace(ProxyChange change) {
    changes.put(change.subject(), change);
  }

  /** Adds a change at the end and removes an earlier change with the same subject. */
  void putLast(ProxyChange change) {
    ProxyChange.Subject subject = change.subject();
    changes.remove(subject);
    changes.put(subject, change);
  }

  int size() {
    return changes.size();
  }

  List<ProxyChange> toList() {
    return List.copyOf(changes.values());
  }
}
