package stonespring.line;

import stonespring.netty.ProtocolViolationException;

/**
 * Signals that a peer sent bytes that are not a valid line. The exception message is logged, and is
 * sent to a peer whose handshake is incomplete.
 */
public final class MalformedLineException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  MalformedLineException(String message) {
    super(message);
  }
}
