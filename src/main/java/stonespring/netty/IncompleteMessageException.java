package stonespring.netty;

/** Signals that an incomplete message was rejected, so that its connection ends. */
public final class IncompleteMessageException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  /** Why the message was rejected. */
  public enum Cause {
    /** It was not complete in time. */
    TIMEOUT("a message was not complete in time"),
    /** The incomplete messages of all connections hold too much memory. */
    MEMORY("the incomplete messages of all connections exceed their limit");

    private final String description;

    Cause(String description) {
      this.description = description;
    }
  }

  private final Cause reason;

  IncompleteMessageException(Cause reason) {
    super(reason.description);
    this.reason = reason;
  }

  /** Returns why the message was rejected. */
  public Cause reason() {
    return reason;
  }
}
