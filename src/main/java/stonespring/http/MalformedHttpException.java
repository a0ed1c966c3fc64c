package stonespring.http;

import stonespring.netty.ProtocolViolationException;

/**
 * Thrown when bytes received from a peer are not HTTP/1.1 or are in a form that is rejected. The
 * message names the location and the problem; a server sends it to the peer.
 */
public final class MalformedHttpException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  static final int STATUS_BAD_REQUEST = 400;
  static final int STATUS_BODY_TOO_LARGE = 413;
  static final int STATUS_HEAD_TOO_LARGE = 431;

  private final int status;

  MalformedHttpException(String location, String problem) {
    this(location, problem, STATUS_BAD_REQUEST);
  }

  MalformedHttpException(String location, String problem, int status) {
    super(location + ": " + problem);
    this.status = status;
  }

  /** Returns the status of the response by which a server reports this to the peer. */
  int status() {
    return status;
  }
}
