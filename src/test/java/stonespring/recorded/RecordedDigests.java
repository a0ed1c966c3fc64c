package stonespring.recorded;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digests of recorded output, compared with a resource that has one line per recording: its name,
 * its number of chunks and the SHA-256 of their concatenated bytes. The actual lines are written to
 * {@code target/} under the resource's name. Not thread-safe.
 */
public final class RecordedDigests {
  private final StringBuilder actual = new StringBuilder();

  /** The number of chunks of one recording and the digest of their bytes so far. */
  public static final class Recording {
    private final MessageDigest digest;
    private int chunkCount;

    /** Creates an empty recording. */
    public Recording() {
      try {
        this.digest = MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new AssertionError(e);
      }
    }

    public void add(byte[] bytes) {
      digest.update(bytes);
      chunkCount++;
    }

    public void add(String text) {
      add(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Adds the line of a completed recording; its digest must not be updated afterwards. */
  public void put(String name, Recording recording) {
    actual
        .append(name)
        .append(' ')
        .append(recording.chunkCount)
        .append(' ')
        .append(HexFormat.of().formatHex(recording.digest.digest()))
        .append('\n');
  }

  /** Asserts that the lines added are those of the resource, in the same order. */
  public void check(String resource) throws IOException {
    Path actualFile = Path.of("target", resource);
    Files.createDirectories(actualFile.getParent());
    Files.writeString(actualFile, actual.toString());
    try (InputStream in = RecordedDigests.class.getResourceAsStream("/recorded/" + resource)) {
      assertNotNull(in, "test resource /recorded/" + resource + " not found");
      assertEquals(
          new String(in.readAllBytes(), StandardCharsets.UTF_8),
          actual.toString(),
          "recorded output differs from /recorded/" + resource + "; actual digests: " + actualFile);
    }
  }
}
