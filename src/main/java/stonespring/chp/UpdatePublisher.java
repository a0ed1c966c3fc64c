package stonespring.chp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpEncoder;
import stonespring.zmtp.ZmtpListener;

/** Sends updates and heartbeats to subscribers. State is confined to one event loop. */
final class UpdatePublisher implements ZmtpListener {
  private final EventLoop loop;
  private final SubscriptionIndex subscriptions = new SubscriptionIndex();
  private final Set<ZmtpConnection> writtenSinceLastHeartbeat = new HashSet<>();

  UpdatePublisher(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public void subscriptionChanged(
      ZmtpConnection connection, byte[] prefixBytes, boolean subscribed) {
    String prefix = SubscriptionIndex.toByteString(prefixBytes);
    if (!subscribed) {
      subscriptions.remove(connection, prefix);
      return;
    }
    subscriptions.add(connection, prefix);
    if (prefix.equals(ChpMessage.HUGZ)) {
      // This heartbeat shows the subscriber that its earlier subscriptions are active, so that it
      // can request its snapshot without missing an update.
      connection.writeMessageAndFlush(new ChpMessage.Hugz().frames());
    }
  }

  @Override
  public void connectionClosed(ZmtpConnection connection) {
    writtenSinceLastHeartbeat.remove(connection);
    subscriptions.removeConnection(connection);
  }

  /** Sends updates to their subscribers, in order. May be called from any thread. */
  void publish(List<? extends ChpMessage> updates) {
    loop.execute(() -> sendBatched(updates));
  }

  /**
   * Sends a heartbeat to each heartbeat subscriber to which no update was sent since the previous
   * call.
   */
  void sendHeartbeats() {
    List<byte[]> heartbeat = new ChpMessage.Hugz().frames();
    for (ZmtpConnection connection : subscriptions.subscribersOfExactPrefix(ChpMessage.HUGZ)) {
      if (!writtenSinceLastHeartbeat.contains(connection)) {
        connection.writeMessageAndFlush(heartbeat);
      }
    }
    writtenSinceLastHeartbeat.clear();
  }

  /**
   * Sends the updates with one write per connection, since a write costs more than encoding an
   * update.
   */
  private void sendBatched(List<? extends ChpMessage> updates) {
    Map<ZmtpConnection, ByteBuf> buffers = new LinkedHashMap<>();
    for (ChpMessage update : updates) {
      List<byte[]> frames = update.frames();
      String key = SubscriptionIndex.toByteString(frames.get(0));
      for (ZmtpConnection connection : subscriptions.subscribersOfKey(key)) {
        ByteBuf buffer =
            buffers.computeIfAbsent(connection, unused -> PooledByteBufAllocator.DEFAULT.buffer());
        ZmtpEncoder.appendMessage(buffer, frames);
      }
    }
    buffers.forEach(
        (connection, buffer) -> {
          connection.writeEncoded(buffer);
          connection.flush();
          writtenSinceLastHeartbeat.add(connection);
        });
  }
}
