package stonespring.http;

import stonespring.netty.ProtocolViolationException;

/**
 * Thrown when bytes received from a peer are not HTTP/1.1 or are in a form that is rejected. The
 * message names the location and the problem; a server sends it to the peer.
 */
public final class MalformedHttpException extends ProtocolViolationException {
  private static final long serialVersionUID = 1;

  MalformedHttpException(String location, String problem) {
    super(location + ": " + problem);
  }
}
