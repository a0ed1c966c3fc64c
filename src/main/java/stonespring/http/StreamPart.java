package stonespring.http;

/** What follows on the head of a response whose chunks are passed on as they arrive. */
sealed interface StreamPart {
  /** Bytes of the body, cut anywhere. */
  record Bytes(byte[] bytes) implements StreamPart {}

  /** The body is complete. */
  record End() implements StreamPart {}
}
