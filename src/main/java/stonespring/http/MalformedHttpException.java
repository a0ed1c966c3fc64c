package stonespring.http;

/**
 * A peer's bytes are no HTTP/1.1 that is taken here; the text names the place. The connection ends
 * with it.
 */
public final class MalformedHttpException extends RuntimeException {
  private static final long serialVersionUID = 1;

  public MalformedHttpException(String message) {
    super(message, null, false, false);
  }
}
