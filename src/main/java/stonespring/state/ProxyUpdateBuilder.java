package stonespring.state;

import java.util.Optional;
import stonespring.model.AckId;
import stonespring.model.ProxyId;

/** Builds the update for one proxy while the commands of an event batch are applied. */
final class ProxyUpdateBuilder {
  private final ProxyId proxy;
  private final ProxyChangeSet changes = new ProxyChangeSet();
  private int entries;

  ProxyUpdateBuilder(ProxyId proxy) {
    this.proxy = proxy;
  }

  /**
   * Adds a change at the end, removes an earlier change with the same subject, and counts one
   * entry.
   */
  void addCounted(ProxyChange change) {
    changes.putLast(change);
    entries++;
  }

  /** Adds a change that costs no entry or whose entry {@link #countEntry} counts. */
  void addUncounted(ProxyChange change) {
    changes.putInPlace(change);
  }

  /** Counts one entry for one or more changes added with {@link #addUncounted}. */
  void countEntry() {
    entries++;
  }

  ProxyUpdate build(Optional<AckId> ack, long now) {
    return new ProxyUpdate(proxy, changes.toList(), entries + (ack.isPresent() ? 1 : 0), ack, now);
  }
}
