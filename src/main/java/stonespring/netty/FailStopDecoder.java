package stonespring.netty;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderException;
import java.util.List;

/**
 * A decoder that discards all bytes after the first protocol violation. Netty passes the violation
 * to the connection's handlers, wrapped in a {@link DecoderException}.
 */
public abstract class FailStopDecoder extends ByteToMessageDecoder {
  private boolean failed;

  @Override
  protected final void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (failed) {
      in.skipBytes(in.readableBytes());
      return;
    }
    try {
      decode(in, out);
    } catch (ProtocolViolationException e) {
      failed = true;
      throw e;
    }
  }

  /**
   * Decodes the next message or part of a message from the received bytes, and adds it to the
   * output. Called repeatedly while it consumes bytes and bytes remain.
   *
   * @param in the received bytes; bytes that are not consumed are passed again with those that
   *     follow
   * @throws ProtocolViolationException if the bytes are invalid
   */
  protected abstract void decode(ByteBuf in, List<Object> out);

  /**
   * Returns the memory in bytes that the incomplete message holds: received bytes that are not
   * decoded yet, and decoded parts. Returns 0 if no message is incomplete.
   */
  final long incompleteBytes() {
    ByteBuf received = internalBuffer();
    return (received.isReadable() ? received.capacity() : 0) + decodedPartBytes();
  }

  /** Returns the memory in bytes that the decoded parts of an incomplete message hold. */
  protected abstract long decodedPartBytes();

  /** Drops the incomplete message and discards all bytes that follow. */
  final void discardIncomplete() {
    failed = true;
    discardDecodedParts();
  }

  /** Drops the decoded parts of an incomplete message, after which nothing is decoded any more. */
  protected abstract void discardDecodedParts();

  /**
   * Returns the exception that a decoder threw, if the given one is Netty's {@link
   * DecoderException} around it. Returns any other exception unchanged.
   */
  public static Throwable unwrap(Throwable cause) {
    boolean wrapped = cause instanceof DecoderException && cause.getCause() != null;
    return wrapped ? cause.getCause() : cause;
  }
}
