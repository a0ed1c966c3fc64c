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
   * Decodes the next part from the bytes that have arrived. It is called again as long as it
   * consumes bytes or adds output.
   *
   * @throws ProtocolViolationException if the bytes are invalid
   */
  protected abstract void decode(ByteBuf in, List<Object> out);

  /** Returns the exception that a decoder threw if Netty has wrapped it; otherwise the cause. */
  public static Throwable unwrap(Throwable cause) {
    boolean wrapped = cause instanceof DecoderException && cause.getCause() != null;
    return wrapped ? cause.getCause() : cause;
  }
}
