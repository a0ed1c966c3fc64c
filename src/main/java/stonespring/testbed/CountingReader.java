package stonespring.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A connection to a loopback port that discards what it receives and counts the bytes. A thread of
 * its own reads until the connection closes. The count may be read from any thread.
 */
final class CountingReader implements AutoCloseable {
  /** A ZMTP 3.0 greeting with the NULL mechanism and the READY command of a SUB socket, as hex. */
  private static final String SUBSCRIBER_HANDSHAKE =
      "FF00000000000000007F03004E554C4C"
          + "00".repeat(48)
          + "04190552454144590B536F636B65742D5479706500000003535542";

  /** The first byte of a ZMTP subscription message. */
  private static final byte SUBSCRIBE = 1;

  private final Socket socket;
  private final AtomicLong bytesRead = new AtomicLong();

  CountingReader(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    Thread thread = new Thread(this::countUntilClosed, "counting-reader");
    thread.setDaemon(true);
    thread.start();
  }

  private void countUntilClosed() {
    byte[] buffer = new byte[1 << 16];
    try (InputStream in = socket.getInputStream()) {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        bytesRead.addAndGet(count);
      }
    } catch (IOException e) {
      // Expected: close() closes the socket under this read.
    }
  }

  /**
   * Sends the handshake of a SUB socket and subscribes to a key prefix.
   *
   * @param prefix ASCII, at most 254 characters
   */
  void subscribe(String prefix) throws IOException {
    byte[] topic = prefix.getBytes(StandardCharsets.US_ASCII);
    OutputStream out = socket.getOutputStream();
    out.write(HexFormat.of().parseHex(SUBSCRIBER_HANDSHAKE));
    out.write(new byte[] {0, (byte) (topic.length + 1), SUBSCRIBE});
    out.write(topic);
  }

  long bytesRead() {
    return bytesRead.get();
  }

  static long totalBytes(List<CountingReader> readers) {
    return readers.stream().mapToLong(CountingReader::bytesRead).sum();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
