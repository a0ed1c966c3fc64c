package stonespring.simhost;

/** Input that breaks the wire's form; the text names the message and the field. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public WireException(String text) {
    super(text);
  }
}
