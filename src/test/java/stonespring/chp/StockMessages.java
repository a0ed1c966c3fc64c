package stonespring.chp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.zeromq.ZFrame;
import org.zeromq.ZMQ;
import org.zeromq.ZMsg;

/** Writes and reads CHP messages by means of an independent ZeroMQ library. */
final class StockMessages {
  /** Upper bound only: each wait ends as soon as the expected event happens. */
  static final int TIMEOUT_MILLIS = 10_000;

  private StockMessages() {}

  /** Returns a frame of the message decoded as UTF-8. */
  static String text(ZMsg message, int frame) {
    return message.toArray(new ZFrame[0])[frame].getString(StandardCharsets.UTF_8);
  }

  static long sequence(ZMsg message) {
    return ByteBuffer.wrap(message.toArray(new ZFrame[0])[1].getData()).getLong();
  }

  /** Sends a set request for a key to a collector port. */
  static void set(ZMQ.Socket collector, String key, String properties, String value) {
    keyValue(key, 0, properties, value).send(collector);
  }

  /** Publishes an update. */
  static void publish(ZMQ.Socket publisher, String key, long sequence, String value) {
    keyValue(key, sequence, "", value).send(publisher);
  }

  /** Sends one message of a snapshot: a key or the end marker. */
  static void reply(ZMQ.Socket router, byte[] client, String key, long sequence, String value) {
    ZMsg message = keyValue(key, sequence, "", value);
    message.addFirst(client);
    message.send(router);
  }

  private static ZMsg keyValue(String key, long sequence, String properties, String value) {
    ZMsg message = new ZMsg();
    message.add(key);
    message.add(ByteBuffer.allocate(Long.BYTES).putLong(sequence).array());
    message.add(new byte[0]);
    message.add(properties);
    message.add(value);
    return message;
  }
}
