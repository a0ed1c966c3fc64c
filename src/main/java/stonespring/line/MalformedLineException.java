package stonespring.line;

import stonespring.netty.ProtocolViolationException;

/** A peer's bytes are no line of the protocol. The message is sent to it and logged. */
public final class MalformedLineException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  MalformedLineException(String message) {
    super(message);
  }
}
