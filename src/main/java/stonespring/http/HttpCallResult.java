package stonespring.http;

/** The outcome of a call. */
public sealed interface HttpCallResult {
  /** A complete response arrived; its status may be an error. */
  record Completed(HttpResponse response) implements HttpCallResult {}

  /** No complete response arrived. */
  record Failed(HttpCallFailure failure) implements HttpCallResult {}
}
