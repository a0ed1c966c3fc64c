package stonespring.recording;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonespring.testbed.virtual.LoadGenerator;

/** Tests that recordings survive a round trip and that errors name file, line and field. */
final class RecordingFileTest {
  @TempDir private Path folder;

  /** Writes a generated recording to a.rec.gz and returns the decompressed lines. */
  private String[] writeAndReadLines() throws IOException {
    Path file = folder.resolve("a.rec.gz");
    RecordingFile.write(LoadGenerator.generate(LoadGenerator.Kind.DEPLOY, 3, 6, 3), file);
    try (GZIPInputStream in = new GZIPInputStream(Files.newInputStream(file))) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n");
    }
  }

  private Path writeCompressed(List<String> lines) throws IOException {
    Path file = folder.resolve("b.rec.gz");
    try (GZIPOutputStream out = new GZIPOutputStream(Files.newOutputStream(file))) {
      out.write((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
    }
    return file;
  }

  /**
   * Returns the error for a recording with one replaced line, without its prefix of file and line.
   *
   * @param line counted from 1
   */
  private String errorWithLineReplaced(int line, String replacement) throws IOException {
    String[] lines = writeAndReadLines();
    lines[line - 1] = replacement;
    Path file = writeCompressed(List.of(lines));
    String message =
        assertThrows(InvalidRecordingException.class, () -> RecordingFile.read(file)).getMessage();
    assertTrue(message.startsWith(file + ", line " + line + ": "), message);
    return message.substring((file + ", line " + line + ": ").length());
  }

  @Test
  void readsBackTheRecordingThatWasWritten() throws IOException {
    for (LoadGenerator.Kind kind : LoadGenerator.Kind.values()) {
      Recording generated = LoadGenerator.generate(kind, 5, 9, 4);
      Path file = folder.resolve(kind + ".rec.gz");
      RecordingFile.write(generated, file);
      Recording read = RecordingFile.read(file);
      assertEquals(generated.head(), read.head());
      assertEquals(
          generated.samples().toString().replaceAll("\\[I@[0-9a-f]+", "ops"),
          read.samples().toString().replaceAll("\\[I@[0-9a-f]+", "ops"));
      for (int i = 0; i < generated.samples().size(); i++) {
        if (generated.samples().get(i) instanceof LoadSample.Arrivals arrivals) {
          assertEquals(
              List.of(arrivals.requests()[0], arrivals.requests()[1]),
              List.of(
                  ((LoadSample.Arrivals) read.samples().get(i)).requests()[0],
                  ((LoadSample.Arrivals) read.samples().get(i)).requests()[1]));
        }
      }
    }
  }

  @Test
  void errorNamesLineAndInvalidField() throws IOException {
    assertEquals("version: expected 1, found no version number", errorWithLineReplaced(1, "{}"));
    assertEquals("version: expected 1, found 2", errorWithLineReplaced(1, "{\"version\":2}"));
    assertEquals(
        "expected a JSON array, found invalid JSON", errorWithLineReplaced(2, "[\"ran\",0"));
    assertEquals(
        "kind: expected a kind of sample, found \"walked\"",
        errorWithLineReplaced(2, "[\"walked\",0]"));
    assertEquals(
        "zone: expected an integer from 0 to 2, found 3",
        errorWithLineReplaced(2, "[\"ran\",0,\"t0\",3,2,1.0,false]"));
    assertEquals(
        "ran: expected 7 elements, found 6",
        errorWithLineReplaced(2, "[\"ran\",0,\"t0\",1,2,1.0]"));
    assertEquals(
        "ops: expected an integer from 0 to 10000000, found -1",
        errorWithLineReplaced(2, "[\"came\",0,0,-1,0,0]"));
    assertEquals(
        "state: expected READY, DRAINING or GONE, found \"UP\"",
        errorWithLineReplaced(2, "[\"listed\",0,\"t0\",1,1.0,\"UP\",0]"));
    String[] lines = writeAndReadLines();
    String previousAt = lines[lines.length - 2].split(",")[1];
    assertEquals(
        "at: expected " + previousAt + " or later, found 5",
        errorWithLineReplaced(lines.length, "[\"late\",5,0]"));
  }

  /**
   * A damaged file can still be valid by chance; otherwise it causes an {@link
   * InvalidRecordingException}, never another exception.
   */
  @Test
  void throwsNothingButInvalidRecordingExceptionForDamagedFiles() throws IOException {
    writeAndReadLines();
    byte[] intact = Files.readAllBytes(folder.resolve("a.rec.gz"));
    SplittableRandom random = new SplittableRandom(4);
    Path file = folder.resolve("c.rec.gz");
    for (int i = 0; i < 300; i++) {
      byte[] bytes =
          Arrays.copyOf(intact, i % 2 == 0 ? random.nextInt(intact.length) : intact.length);
      for (int j = 0; j < 2 && bytes.length > 0; j++) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      Files.write(file, bytes);
      try {
        RecordingFile.read(file);
      } catch (InvalidRecordingException e) {
        assertTrue(e.getMessage().startsWith(file + ", line "), e.getMessage());
      }
    }
  }
}
