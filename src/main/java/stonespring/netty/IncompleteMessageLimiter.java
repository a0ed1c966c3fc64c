package stonespring.netty;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The handler of a connection that reports the connection's incomplete message to {@link
 * IncomingMessages} after each read, and raises an {@link IncompleteMessageException} if it is
 * rejected. Stands behind the connection's decoder. State is confined to the connection's event
 * loop.
 */
public final class IncompleteMessageLimiter extends ChannelInboundHandlerAdapter
    implements IncomingMessages.Sender {
  private final FailStopDecoder decoder;
  private final IncomingMessages messages;
  private ChannelHandlerContext context;
  private boolean completedMessage;
  private boolean closed;

  /** Creates the handler of a connection with the given decoder. */
  public IncompleteMessageLimiter(FailStopDecoder decoder, IncomingMessages messages) {
    this.decoder = decoder;
    this.messages = messages;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    completedMessage = true;
    ctx.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!closed) {
      messages.recordIncomplete(this, decoder.incompleteBytes(), !completedMessage);
    }
    completedMessage = false;
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    messages.remove(this);
    ctx.fireChannelInactive();
  }

  @Override
  public void reject(IncompleteMessageException cause) {
    context.executor().execute(() -> rejectNow(cause));
  }

  private void rejectNow(IncompleteMessageException cause) {
    if (!closed) {
      closed = true;
      decoder.discardIncomplete();
      context.fireExceptionCaught(cause);
    }
  }
}
