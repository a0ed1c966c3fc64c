package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.zmtp.ZmtpLimits;

/**
 * Subscribes to the status that instances publish and records it as evidence. Reconnects after a
 * connection ends.
 */
final class InstanceStatusMonitor {
  private static final int SILENCE_TIMEOUT_MILLIS = 10_000;
  private static final int RECONNECT_DELAY_MILLIS = 200;

  private final EventLoopGroup loops;
  private final Evidence evidence;
  private volatile boolean stopped;

  InstanceStatusMonitor(EventLoopGroup loops, Evidence evidence) {
    this.loops = loops;
    this.evidence = evidence;
  }

  /** Subscribes to an instance's status until {@link #stop}. */
  void watch(InstanceProcess instance) {
    EventLoop loop = loops.next();
    ChpClient.Listener listener =
        new ChpClient.Listener() {
          @Override
          public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
            keys.forEach(key -> WireTap.recordStatus(evidence, key.value()));
          }

          @Override
          public void updateReceived(ChpMessage.KvPub update) {
            WireTap.recordStatus(evidence, update.value());
          }

          @Override
          public void sessionEnded(String cause) {
            if (!stopped) {
              loop.schedule(() -> watch(instance), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
          }
        };
    new ChpClient(loop, "/assigner/", SILENCE_TIMEOUT_MILLIS, listener)
        .connect("127.0.0.1", instance.port(), false, ZmtpLimits.DEFAULT);
  }

  /** Stops reconnecting. Open connections end when their instances stop. */
  void stop() {
    stopped = true;
  }
}
