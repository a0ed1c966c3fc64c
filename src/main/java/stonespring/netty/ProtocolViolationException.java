package stonespring.netty;

/**
 * Signals that a peer sent bytes that its protocol does not allow. No later bytes of the connection
 * can be interpreted. It has no stack trace, because any peer can cause it repeatedly and creating
 * a stack trace is costly.
 */
public abstract class ProtocolViolationException extends RuntimeException {
  private static final long serialVersionUID = 1;

  protected ProtocolViolationException(String message) {
    super(message, null, false, false);
  }
}
