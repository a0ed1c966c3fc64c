package stonespring.zmtp;

import java.util.Optional;

/** The supported socket types, by their names on the wire (RFC 37, "The Socket Semantics"). */
public enum SocketType {
  PUB,
  SUB,
  XPUB,
  XSUB,
  DEALER,
  ROUTER;

  /** Whether sockets of this type may be connected to sockets of the other. */
  public boolean isCompatibleWith(SocketType other) {
    return switch (this) {
      case PUB, XPUB -> other.subscribes();
      case SUB, XSUB -> other.publishes();
      case DEALER -> other == ROUTER;
      case ROUTER -> other == DEALER;
    };
  }

  /** Whether it sends messages to those who subscribed to them. */
  boolean publishes() {
    return this == PUB || this == XPUB;
  }

  private boolean subscribes() {
    return this == SUB || this == XSUB;
  }

  /** The type of that name; empty if it is not supported. */
  static Optional<SocketType> fromWireName(String name) {
    for (SocketType type : values()) {
      if (type.name().equals(name)) {
        return Optional.of(type);
      }
    }
    return Optional.empty();
  }
}
