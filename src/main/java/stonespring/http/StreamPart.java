package stonespring.http;

/** A part of a streamed response that follows its head. */
sealed interface StreamPart {
  /** Bytes of the body, which may be split at any position. */
  record Bytes(byte[] bytes) implements StreamPart {}

  /** The end of the body. */
  record End() implements StreamPart {}
}
