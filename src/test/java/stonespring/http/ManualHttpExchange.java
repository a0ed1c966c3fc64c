package stonespring.http;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * The server side of one HTTP request on a plain socket; the test writes the response itself.
 * Shares no code with the client under test.
 */
public final class ManualHttpExchange implements Closeable {
  /** The head of a chunked response. */
  public static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final Socket socket;
  private final String target;

  /** Accepts the next connection and reads the head of its request. */
  public ManualHttpExchange(ServerSocket server) throws IOException {
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

  /** Returns the target in the request line. */
  public String target() {
    return target;
  }

  /** Writes text unchanged. */
  public ManualHttpExchange writeRaw(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  /** Writes a complete response with an ASCII body. */
  public ManualHttpExchange writeResponse(String body) throws IOException {
    return writeRaw("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Writes one chunk of a chunked response. */
  public ManualHttpExchange writeChunk(String text) throws IOException {
    int size = text.getBytes(StandardCharsets.UTF_8).length;
    return writeRaw(Integer.toHexString(size) + "\r\n" + text + "\r\n");
  }

  /** Waits until the client closes the connection or sends a byte; returns whether it closed. */
  public boolean closedByClient() throws IOException {
    return socket.getInputStream().read() == -1;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
