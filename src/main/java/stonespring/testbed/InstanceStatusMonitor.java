package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.zmtp.ZmtpLimits;

/** Records what instances publish of themselves, and dials again after each loss. */
final class InstanceStatusMonitor {
  private static final int SILENCE_MILLIS = 10_000;
  private static final int REDIAL_MILLIS = 200;

  private final EventLoopGroup loops;
  private final Evidence evidence;
  private volatile boolean stopped;

  InstanceStatusMonitor(EventLoopGroup loops, Evidence evidence) {
    this.loops = loops;
    this.evidence = evidence;
  }

  void watch(InstanceProcess instance) {
    EventLoop loop = loops.next();
    ChpClient.Listener listener =
        new ChpClient.Listener() {
          @Override
          public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
            keys.forEach(key -> WireTap.status(evidence, key.value()));
          }

          @Override
          public void updateReceived(ChpMessage.KvPub update) {
            WireTap.status(evidence, update.value());
          }

          @Override
          public void sessionEnded(String cause) {
            if (!stopped) {
              loop.schedule(() -> watch(instance), REDIAL_MILLIS, TimeUnit.MILLISECONDS);
            }
          }
        };
    new ChpClient(loop, "/assigner/", SILENCE_MILLIS, listener)
        .connect("127.0.0.1", instance.port(), false, ZmtpLimits.DEFAULT);
  }

  /** Dials no more; standing connections end with their instances. */
  void stop() {
    stopped = true;
  }
}
