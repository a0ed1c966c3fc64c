package stonespring.http;

/**
 * The reason why a call got no response. Only {@link #CONNECT_FAILED} proves that the server did
 * not execute the request.
 */
public enum HttpCallFailure {
  /** No connection could be established, so no byte of the request was sent. */
  CONNECT_FAILED,
  /** The connection was lost before the response was complete. */
  CONNECTION_LOST,
  /** No complete response arrived in time, or the caller cancelled the call. */
  TIMED_OUT,
  /** The received bytes are not a valid response. */
  MALFORMED_RESPONSE
}
