package stonespring.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * What the operators' platform tells an assigner at its start and anew at each hang-up signal: one
 * JSON file.
 *
 * @param name the assigner's name, the same after a restart
 * @param listen where proxies and collectors connect
 * @param discovery where the list of tasks comes from
 * @param seed for chance; new with each start
 * @param sockets how many descriptors the process may hold
 * @param known the list of tasks as last had, in discovery's form; null where there is none
 */
public record PlatformConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    JsonNode known,
    PlatformSettings facts) {
  /** A file that can't be used: one line that names the file and the field. */
  public static final class BadFile extends Exception {
    private static final long serialVersionUID = 1;

    BadFile(Path file, String what) {
      super(file + ": " + what, null, false, false);
    }
  }

  private static final long BYTES_MOST =
      32L << 20; // of the file; far above the most tasks of a list
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
  private static final int SOCKETS_USUAL =
      1024; // where the file gives no limit: what systems give a process
  private static final ObjectMapper JSON = new ObjectMapper();

  public static PlatformConfig read(Path file) throws BadFile {
    try {
      if (Files.size(file) > BYTES_MOST) {
        throw new BadFile(file, "it is over " + BYTES_MOST + " bytes");
      }
      return decode(file, JSON.readTree(Files.readAllBytes(file)));
    } catch (NoSuchFileException e) {
      throw new BadFile(file, "there is no such file");
    } catch (JsonProcessingException e) {
      throw new BadFile(
          file,
          "line "
              + (e.getLocation() == null ? 0 : e.getLocation().getLineNr())
              + ": it is no well-formed JSON: "
              + e.getOriginalMessage().split("\n")[0]);
    } catch (IOException e) {
      throw new BadFile(file, "it can't be read: " + e.getMessage());
    } catch (PlatformSettings.BadFacts e) {
      throw new BadFile(file, "field 'settings': " + e.getMessage());
    }
  }

  private static PlatformConfig decode(Path file, JsonNode all) throws BadFile {
    if (all == null || !all.isObject()) {
      throw new BadFile(file, "it is no JSON object");
    }
    JsonNode settings = all.path("settings");
    if (!settings.isObject()) {
      throw new BadFile(file, "field 'settings' is missing or no object");
    }
    JsonNode sockets = all.path("limits").path("sockets");
    if (!sockets.isMissingNode() && !(sockets.isIntegralNumber() && sockets.asInt() > 0)) {
      throw new BadFile(file, "field 'limits.sockets' is no number above 0");
    }
    JsonNode known = all.get("known");
    // Settings of customers whose simulator pushes the list say so, but on sockets it comes only by
    // a watch: taken at
    // their word, an assigner never asked, and sent ops to drained tasks for the rest of its life.
    PlatformSettings facts = PlatformSettings.read(settings).onPlatform();
    return new PlatformConfig(
        text(file, all, "name"),
        address(file, all, "listen"),
        address(file, all, "discovery"),
        seed(file, all.path("seed")),
        sockets.asInt(SOCKETS_USUAL),
        known == null || known.isNull() ? null : known,
        facts);
  }

  private static String text(Path file, JsonNode all, String field) throws BadFile {
    if (!all.path(field).isTextual()) {
      throw new BadFile(file, "field '" + field + "' is missing or no text");
    }
    return all.path(field).asText();
  }

  private static InetSocketAddress address(Path file, JsonNode all, String field) throws BadFile {
    String text = text(file, all, field);
    int colon = text.lastIndexOf(':');
    // Addresses alone: there is no name service, and a look-up would hold everything up.
    if (colon < 1
        || !text.substring(0, colon).matches(OCTET + "(\\." + OCTET + "){3}|\\[[0-9A-Fa-f:.]+]")
        || !text.substring(colon + 1).matches("[0-9]{1,5}")
        || Integer.parseInt(text.substring(colon + 1)) > 65535) {
      throw new BadFile(file, "field '" + field + "' is not ADDRESS:PORT: " + text);
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Hex digits, or a number; the low 64 bits count. */
  private static long seed(Path file, JsonNode seed) throws BadFile {
    if (seed.isIntegralNumber()) {
      return seed.asLong();
    }
    if (!seed.isTextual() || !seed.asText().matches("[0-9A-Fa-f]{1,64}")) {
      throw new BadFile(file, "field 'seed' is missing, or neither hex digits nor a number");
    }
    return new java.math.BigInteger(seed.asText(), 16).longValue();
  }
}
