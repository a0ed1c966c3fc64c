package stonespring.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A proxy's connection to an instance on the platform, over a plain socket. */
final class LineClient implements AutoCloseable {
  private final Socket socket;
  private final BufferedReader reader;

  LineClient(Socket socket) throws IOException {
    this.socket = socket;
    this.reader =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }

  int port() {
    return socket.getPort();
  }

  void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Reads a line; returns null at the end of the stream. */
  String readLine() throws IOException {
    return reader.readLine();
  }

  /**
   * Skips lines that change a route table and returns the next other line, or null at the end of
   * the stream.
   */
  String readLineAfterUpdates() throws IOException {
    String line = reader.readLine();
    while (line != null && line.startsWith("CONFIG")) {
      line = reader.readLine();
    }
    return line;
  }

  /** Reads everything up to the end of the stream. */
  String readRest() throws IOException {
    StringBuilder rest = new StringBuilder();
    for (int next = reader.read(); next >= 0; next = reader.read()) {
      rest.append((char) next);
    }
    return rest.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
