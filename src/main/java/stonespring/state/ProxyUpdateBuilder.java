package stonespring.state;

import java.util.Optional;
import stonespring.model.AckId;
import stonespring.model.ProxyId;

/** An update for one proxy while the commands of an event batch are applied. */
final class ProxyUpdateBuilder {
  private final ProxyId proxy;
  private final ProxyChangeSet changes = new ProxyChangeSet();
  private int entries;

  ProxyUpdateBuilder(ProxyId proxy) {
    this.proxy = proxy;
  }

  /** Adds a change and counts an entry for it; it stands behind all others. */
  void addCounted(ProxyChange change) {
    changes.putLast(change);
    entries++;
  }

  /** Adds a change whose entry is counted by {@link #countEntry}, or that costs none. */
  void addUncounted(ProxyChange change) {
    changes.putInPlace(change);
  }

  /** Counts an entry, for changes that are added uncounted. */
  void countEntry() {
    entries++;
  }

  ProxyUpdate build(Optional<AckId> ack, long now) {
    return new ProxyUpdate(proxy, changes.toList(), entries + (ack.isPresent() ? 1 : 0), ack, now);
  }
}
