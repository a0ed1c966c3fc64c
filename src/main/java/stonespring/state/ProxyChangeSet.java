package stonespring.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The changes of an update while it is put together: ordered, one for each subject. */
final class ProxyChangeSet {
  private final Map<ProxyChange.Subject, ProxyChange> changes = new LinkedHashMap<>();

  /** Adds a change in the place of an earlier one of the same subject, else at the end. */
  void putInPlace(ProxyChange change) {
    changes.put(change.subject(), change);
  }

  /** Adds a change at the end; an earlier one of the same subject is dropped. */
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
