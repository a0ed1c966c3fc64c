package stonespring.http;

/** How a call ended. */
public sealed interface HttpCallResult {
  /** There was a response, of whatever status. */
  record Completed(HttpResponse response) implements HttpCallResult {}

  /** There was none. */
  record Failed(HttpCallFailure failure) implements HttpCallResult {}
}
