package stonespring.netty;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;

/**
 * The reads of a listener's connections. A connection is read from a few times with a small buffer
 * before the others have their turn, so that a peer that sends at full speed does not delay them.
 * The small buffer also bounds the memory behind the first bytes of a message.
 */
public final class FairReads {
  private static final int BUFFER_BYTES = 4096;
  private static final int READS_PER_TURN = 4;

  private FairReads() {}

  /** Sets the reads of the connections that a server accepts. */
  @SuppressWarnings("deprecation") // RCVBUF_ALLOCATOR: Netty 4.2 has no other way to set it
  public static ServerBootstrap apply(ServerBootstrap bootstrap) {
    return bootstrap.childOption(
        ChannelOption.RCVBUF_ALLOCATOR,
        new FixedRecvByteBufAllocator(BUFFER_BYTES).maxMessagesPerRead(READS_PER_TURN));
  }
}
