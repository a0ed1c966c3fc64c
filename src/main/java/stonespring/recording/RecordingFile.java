package stonespring.recording;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import java.util.zip.ZipException;

/**
 * Reads and writes recordings as gzip-compressed files of JSON lines: first the head as an object,
 * then each sample as an array.
 */
public final class RecordingFile {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

  private RecordingFile() {}

  /**
   * Writes a recording to a temporary file in the same folder and renames it atomically, so that
   * readers never find an incomplete recording.
   */
  public static void write(Recording recording, Path file) throws IOException {
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".part");
    try (BufferedWriter out =
        new BufferedWriter(
            new OutputStreamWriter(
                new GZIPOutputStream(Files.newOutputStream(temporaryFile)),
                StandardCharsets.UTF_8))) {
      out.write(MAPPER.writeValueAsString(StoredHead.of(recording.head())));
      out.write('\n');
      for (LoadSample sample : recording.samples()) {
        out.write(MAPPER.writeValueAsString(SampleWriter.encode(sample)));
        out.write('\n');
      }
    }
    Files.move(
        temporaryFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Reads and validates a whole recording.
   *
   * @throws InvalidRecordingException if the file is not a valid recording of the supported version
   */
  public static Recording read(Path file) throws IOException {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(
                new GZIPInputStream(Files.newInputStream(file)), StandardCharsets.UTF_8))) {
      return new RecordingReader(MAPPER, file).read(in);
    } catch (ZipException | EOFException e) {
      throw new InvalidRecordingException(
          file, 0, "expected a complete gzip file, found a truncated, damaged or uncompressed one");
    }
  }
}
