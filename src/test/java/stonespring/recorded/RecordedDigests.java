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
 * Compares digests of a test's output with those stored in a resource. Each line of the resource
 * has the name of a recording, its number of pieces, and the SHA-256 of the bytes of all pieces.
 * The digests of the last run are written to {@code target/} under the name of the resource.
 */
public final class RecordedDigests {
  private final StringBuilder found = new StringBuilder();

  /** The digest of a recording to which pieces of output are added in order. */
  public static final class Recording {
    private final MessageDigest digest;
    private int pieces;

    /** Creates a recording without pieces. */
    public Recording() {
      try {
        this.digest = MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new AssertionError(e);
      }
    }

    public void add(byte[] bytes) {
      digest.update(bytes);
      pieces++;
    }

    public void add(String text) {
      add(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Completes a recording and adds its digest under a name. */
  public void put(String name, Recording recording) {
    found
        .append(name)
        .append(' ')
        .append(recording.pieces)
        .append(' ')
        .append(HexFormat.of().formatHex(recording.digest.digest()))
        .append('\n');
  }

  /** Fails the test unless the digests of all recordings are those in the resource. */
  public void check(String resource) throws IOException {
    Path left = Path.of("target", resource);
    Files.createDirectories(left.getParent());
    Files.writeString(left, found.toString());
    try (InputStream in = RecordedDigests.class.getResourceAsStream("/recorded/" + resource)) {
      assertNotNull(in, "no resource /recorded/" + resource);
      assertEquals(
          new String(in.readAllBytes(), StandardCharsets.UTF_8),
          found.toString(),
          "what is recorded has changed");
    }
  }
}
