package stonespring.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A proxy's connection to an instance on the platform, by a plain socket. */
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

  /** Reads a line, null at the end. */
  String readLine() throws IOException {
    return reader.readLine();
  }

  /** Reads on until a line that changes no route table. */
  String readLineAfterUpdates() throws IOException {
    String line = reader.readLine();
    while (line != null && line.startsWith("CONFIG")) {
      line = reader.readLine();
    }
    return line;
  }

  /** Reads all that is left until the end. */
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
