package stonespring.http;

/** Why a call has no response. Only {@link #CONNECT_FAILED} proves that it was never executed. */
public enum HttpCallFailure {
  /** No connection could be made; no byte of the request was sent. */
  CONNECT_FAILED,
  /** The connection was lost before the response was complete. */
  CONNECTION_LOST,
  /** There was no whole response in time, or the caller cancelled. */
  TIMED_OUT,
  /** What arrived is no valid response. */
  MALFORMED_RESPONSE
}
