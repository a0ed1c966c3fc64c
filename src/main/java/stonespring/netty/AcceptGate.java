package stonespring.netty;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The handler of a listening socket that controls whether it accepts connections. Accepting pauses
 * while any reason for it remains. If the operating system refuses to accept a connection, the
 * listener retries after a delay. State is confined to the listener's event loop.
 */
public final class AcceptGate extends ChannelInboundHandlerAdapter {
  /** Reasons for which accepting pauses. */
  public enum PauseReason {
    /** As many handshakes as allowed are incomplete. */
    PENDING_HANDSHAKES,

    /** The operating system could not accept a connection. */
    ACCEPT_FAILED
  }

  private static final Logger LOG = LoggerFactory.getLogger(AcceptGate.class);
  private static final long RETRY_MILLIS = 1_000;

  private final EpisodeLog failureLog = new EpisodeLog();
  private final Set<PauseReason> pauseReasons = EnumSet.noneOf(PauseReason.class);
  private Channel listener;

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    listener = ctx.channel();
  }

  /** Stops accepting connections until the reason no longer applies. */
  public void pause(PauseReason reason) {
    pauseReasons.add(reason);
    listener.config().setAutoRead(false);
  }

  /** Ends a reason for a pause; accepting resumes if no other reason remains. */
  public void resume(PauseReason reason) {
    pauseReasons.remove(reason);
    listener.config().setAutoRead(pauseReasons.isEmpty());
  }

  /** Handles a failed accept. Netty's own handling would log a stack trace for each retry. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (failureLog.shouldLog()) {
      LOG.warn(
          "connections can't be accepted, retrying every {} ms: {}",
          RETRY_MILLIS,
          String.valueOf(cause.getMessage()));
    }
    pause(PauseReason.ACCEPT_FAILED);
    listener
        .eventLoop()
        .schedule(() -> resume(PauseReason.ACCEPT_FAILED), RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
