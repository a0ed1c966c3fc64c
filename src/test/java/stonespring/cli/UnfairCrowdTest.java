package stonespring.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against processes that run out of memory when hundreds of clients send messages that never
 * end. Each command runs in a process of its own with a small heap; sound clients must be answered
 * while the crowd is connected, and afterwards.
 */
final class UnfairCrowdTest {
  private static final int CROWD_SIZE = 400;
  private static final int SOUND_REQUESTS = 20;

  /** Bound for each wait and for each answer to a sound client. */
  private static final int TIMEOUT_MILLIS = 10_000;

  private static final String GREETING =
      "FF 0000000000000000 7F 03 01 4E554C4C 00000000000000000000000000000000 00" + "00".repeat(31);
  private static final String READY_DEALER =
      "04 1C 05 5245414459 0B 536F636B65742D54797065 00000006 4445414C4552";
  private static final String READY_PUB =
      "04 19 05 5245414459 0B 536F636B65742D54797065 00000003 505542";

  /**
   * A command and how to talk to it.
   *
   * @param arguments the command line; {@code PORT} stands for the port
   * @param portPattern matches the line that tells the port
   * @param portOffset the attacked port, relative to the port that is told
   * @param crowdMessage what the client of a number sends; the message is never complete
   * @param soundRequest what a sound client sends to the port that is told
   * @param soundAnswer a part of the answer
   */
  private record Listener(
      List<String> arguments,
      String portPattern,
      int portOffset,
      IntFunction<byte[]> crowdMessage,
      byte[] soundRequest,
      String soundAnswer) {
    @Override
    public String toString() {
      return arguments.get(0) + " at port +" + portOffset;
    }
  }

  @TempDir private Path folder;
  private final List<SocketChannel> crowd = new ArrayList<>();
  private Process process;

  private static Stream<Listener> listeners() {
    return Stream.of(
        httpListener(
            List.of("task", "--port", "PORT"), "task m1@127.0.0.1:(\\d+)", "/op/view", " 200 "),
        httpListener(
            List.of("registry", "tasks.json", "--zones", "west", "--port", "PORT"),
            "registry \\S*:(\\d+)",
            "/nothing",
            " 404 "),
        httpListener(
            List.of("proxy", "settings.star", "--name", "p1", "--zone", "west", "--port", "PORT"),
            "proxy p1 127.0.0.1:(\\d+)",
            "/op/view",
            "x-not-run: 1"),
        chpListener(0, READY_DEALER),
        chpListener(2, READY_PUB));
  }

  private static Listener httpListener(
      List<String> arguments, String portPattern, String path, String soundAnswer) {
    String start = "POST " + path + " HTTP/1.1\r\nhost: h\r\nx-op: 1\r\n";
    return new Listener(
        arguments,
        portPattern,
        0,
        number -> unfinishedRequest(start, number),
        ascii(start + "\r\n"),
        soundAnswer);
  }

  /** Returns a head of long fields, a head of short fields, or half a body. */
  private static byte[] unfinishedRequest(String start, int number) {
    StringBuilder request = new StringBuilder(start);
    if (number % 4 == 3) {
      request.append("content-length: 60000\r\n\r\n").append("z".repeat(59_999));
    } else {
      String value = number % 4 == 2 ? "" : "v".repeat(7_990);
      for (int field = 0; field < 95; field++) {
        request.append('f').append(field).append(": ").append(value).append("\r\n");
      }
    }
    return ascii(request.toString());
  }

  private static Listener chpListener(int portOffset, String ready) {
    ByteBuffer frame = ByteBuffer.allocate(9 + (1 << 20) - 1);
    frame.put((byte) 2).putLong(1 << 20);
    byte[] unfinished = concatenate(hex(GREETING + ready), frame.array());
    byte[] snapshotRequest = concatenate(new byte[] {1, 8}, ascii("ICANHAZ?"));
    byte[] subtree = concatenate(new byte[] {0, 3}, ascii("/x/"));
    return new Listener(
        List.of("serve", "settings.star"),
        "serves at 127.0.0.1:(\\d+) ",
        portOffset,
        number -> unfinished,
        concatenate(hex(GREETING + READY_DEALER), concatenate(snapshotRequest, subtree)),
        "KTHXBAI");
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[] hex(String digits) {
    return HexFormat.of().parseHex(digits.replace(" ", ""));
  }

  private static byte[] concatenate(byte[] first, byte[] second) {
    ByteBuffer all = ByteBuffer.allocate(first.length + second.length);
    return all.put(first).put(second).array();
  }

  private int start(Listener listener) throws Exception {
    Files.writeString(
        folder.resolve("tasks.json"),
        "[{\"id\":\"m1\",\"address\":\"127.0.0.1:9\",\"zone\":\"west\",\"weight\":1,\"state\":\"ready\"}]");
    String settings = Files.readString(Path.of("examples/assigner.star"));
    Files.writeString(folder.resolve("settings.star"), settings.replace("7400", "0"));
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "stonespring.Main"));
    String freePort = String.valueOf(freePort());
    listener.arguments().forEach(argument -> command.add(argument.replace("PORT", freePort)));
    process =
        new ProcessBuilder(command)
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile())
            .start();
    return awaitPort(Pattern.compile(listener.portPattern()));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private String log() throws IOException {
    return Files.readString(folder.resolve("log"));
  }

  private int awaitPort(Pattern pattern) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    Matcher matcher = pattern.matcher(log());
    while (!matcher.find()) {
      assertTrue(System.nanoTime() < deadlineNanos && process.isAlive(), log());
      Thread.sleep(10);
      matcher = pattern.matcher(log());
    }
    return Integer.parseInt(matcher.group(1));
  }

  @AfterEach
  void stop() throws Exception {
    closeCrowd();
    process.destroyForcibly().onExit().join();
  }

  private void closeCrowd() throws IOException {
    for (SocketChannel client : crowd) {
      client.close();
    }
    crowd.clear();
  }

  /** Connects the crowd, and sends as much as is accepted within a second. */
  private void sendUnfinishedMessages(Listener listener, int port) throws IOException {
    List<ByteBuffer> messages = new ArrayList<>();
    for (int i = 0; i < CROWD_SIZE; i++) {
      SocketChannel client = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
      client.configureBlocking(false);
      crowd.add(client);
      messages.add(ByteBuffer.wrap(listener.crowdMessage().apply(i)));
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    while (System.nanoTime() < deadlineNanos) {
      for (int i = 0; i < CROWD_SIZE; i++) {
        writeIfOpen(crowd.get(i), messages.get(i));
      }
    }
  }

  private static void writeIfOpen(SocketChannel client, ByteBuffer message) {
    try {
      client.write(message);
    } catch (IOException e) {
      message.position(message.limit()); // the server closed the connection
    }
  }

  private void assertSoundClientIsAnswered(Listener listener, int port) throws IOException {
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
      client.setSoTimeout(TIMEOUT_MILLIS);
      client.getOutputStream().write(listener.soundRequest());
      ByteArrayOutputStream answer = new ByteArrayOutputStream();
      byte[] buffer = new byte[4096];
      while (!answer.toString(StandardCharsets.ISO_8859_1).contains(listener.soundAnswer())) {
        int length = client.getInputStream().read(buffer);
        assertTrue(length > 0, "closed after " + Arrays.toString(answer.toByteArray()));
        answer.write(buffer, 0, length);
      }
    }
  }

  @ParameterizedTest
  @MethodSource("listeners")
  void answersSoundClientsBesideCrowd(Listener listener) throws Exception {
    int port = start(listener);
    assertSoundClientIsAnswered(listener, port);
    sendUnfinishedMessages(listener, port + listener.portOffset());
    for (int i = 0; i < SOUND_REQUESTS; i++) {
      assertSoundClientIsAnswered(listener, port);
    }
    closeCrowd();
    assertSoundClientIsAnswered(listener, port);
    assertFalse(log().contains("OutOfMemoryError"), log());
  }
}
