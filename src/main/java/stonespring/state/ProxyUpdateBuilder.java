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

  /** Adds a change that costs an entry; it stands behind all others. */
  void charge(ProxyChange change) {
    changes.putLast(change);
    entries++;
  }

  /** Adds a change whose cost is counted otherwise. */
  void include(ProxyChange change) {
    changes.putInPlace(change);
  }

  /** Counts an entry whose changes are included. */
  void chargeEntry() {
    entries++;
  }

  ProxyUpdate build(Optional<AckId> ack, long now) {
    return new ProxyUpdate(proxy, changes.toList(), entries + (ack.isPresent() ? 1 : 0), ack, now);
  }
}
