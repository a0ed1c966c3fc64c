package stonespring.zmtp;

import java.util.Optional;

/**
 * The supported socket types. The names of the constants are sent on the wire (RFC 37, "The Socket
 * Semantics").
 */
public enum SocketType {
  PUB,
  SUB,
  XPUB,
  XSUB,
  DEALER,
  ROUTER;

  /** Returns whether a socket of this type may connect to a socket of the other type. */
  public boolean isCompatibleWith(SocketType other) {
    return switch (this) {
      case PUB, XPUB -> other.subscribes();
      case SUB, XSUB -> other.publishes();
      case DEALER -> other == ROUTER;
      case ROUTER -> other == DEALER;
    };
  }

  /** Returns whether sockets of this type send messages to subscribers. */
  boolean publishes() {
    return this == PUB || this == XPUB;
  }

  private boolean subscribes() {
    return this == SUB || this == XSUB;
  }

  /** Returns the type with the name, or empty if the type is not supported. */
  static Optional<SocketType> fromWireName(String name) {
    for (SocketType type : values()) {
      if (type.name().equals(name)) {
        return Optional.of(type);
      }
    }
    return Optional.empty();
  }
}
