package stonespring.zmtp;

import java.util.EnumSet;
import java.util.Set;

/**
 * The socket types spoken here, and which of them may talk to each other (RFC 37, section "The
 * Socket Semantics").
 */
public enum SocketType {
  PUB,
  SUB,
  XPUB,
  XSUB,
  DEALER,
  ROUTER;

  private Set<SocketType> peers() {
    return switch (this) {
      case PUB, XPUB -> EnumSet.of(SUB, XSUB);
      case SUB, XSUB -> EnumSet.of(PUB, XPUB);
      case DEALER -> EnumSet.of(ROUTER);
      case ROUTER -> EnumSet.of(DEALER);
    };
  }

  public boolean talksTo(SocketType peer) {
    return peers().contains(peer);
  }

  /** The type with that name on the wire; null where it is none that is spoken here. */
  static SocketType named(String name) {
    for (SocketType type : values()) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    return null;
  }
}
