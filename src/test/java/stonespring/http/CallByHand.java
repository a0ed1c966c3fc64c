package stonespring.http;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One call as a stand-in server sees it by a plain socket, answered by hand: shares nothing with
 * what calls.
 */
public final class CallByHand implements Closeable {
  /** The head of an answer in chunks. */
  public static final String CHUNKS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  public final Socket socket;
  public final String target;

  /** Takes the next call and reads it. */
  public CallByHand(ServerSocket server) throws IOException {
    socket = server.accept();
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    target = in.readLine().split(" ")[1];
    String header = in.readLine();
    while (!header.isEmpty()) {
      header = in.readLine();
    }
  }

  public CallByHand raw(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  public CallByHand chunk(String text) throws IOException {
    return raw(
        Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
