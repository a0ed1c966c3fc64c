package stonespring.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The configuration of an instance on the operators' platform: one JSON file, read at the start,
 * after each hang-up signal and after each failed fetch of the endpoint list. Of a file read again
 * only {@code discovery} is applied; other {@code settings} or another {@code listen} address are
 * warned about, since they need a restart; all other fields are ignored. Immutable; no component is
 * null.
 *
 * @param name the instance's name, the same after a restart
 * @param listen where proxies and collectors connect
 * @param discovery where the endpoint list comes from
 * @param seed of the random numbers; new with each start
 * @param sockets how many file descriptors the process may hold
 * @param cachedEndpointList the endpoint list as last seen, in discovery's form
 * @param settings the operators' settings object, as it holds on the platform
 */
public record PlatformConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    Optional<JsonNode> cachedEndpointList,
    PlatformSettings settings) {
  /** Far above the longest endpoint list. */
  private static final long MAX_FILE_BYTES = 32L << 20;

  /** The usual limit of a process, for a file that gives none. */
  private static final int DEFAULT_SOCKETS = 1024;

  private static final int MAX_PORT = 65_535;
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
  private static final String HOST_ADDRESS = OCTET + "(\\." + OCTET + "){3}|\\[[0-9A-Fa-f:.]+]";
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Reads a configuration file.
   *
   * @throws InvalidConfigException if the file can't be read or a field can't be used
   */
  public static PlatformConfig read(Path file) throws InvalidConfigException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new InvalidConfigException(file, "it is over " + MAX_FILE_BYTES + " bytes");
      }
      return decode(file, JSON.readTree(Files.readAllBytes(file)));
    } catch (NoSuchFileException e) {
      throw new InvalidConfigException(file, "there is no such file");
    } catch (JsonProcessingException e) {
      throw malformed(file, e);
    } catch (IOException e) {
      throw new InvalidConfigException(file, "it can't be read: " + e.getMessage());
    } catch (InvalidSettingsException e) {
      throw new InvalidConfigException(file, "field 'settings': " + e.getMessage());
    }
  }

  private static InvalidConfigException malformed(Path file, JsonProcessingException cause) {
    int line = cause.getLocation() == null ? 0 : cause.getLocation().getLineNr();
    String firstLine = cause.getOriginalMessage().split("\n")[0];
    return new InvalidConfigException(
        file, "line " + line + ": it is no well-formed JSON: " + firstLine);
  }

  private static PlatformConfig decode(Path file, JsonNode object) throws InvalidConfigException {
    if (object == null || !object.isObject()) {
      throw new InvalidConfigException(file, "it is no JSON object");
    }
    JsonNode settings = object.path("settings");
    if (!settings.isObject()) {
      throw new InvalidConfigException(file, "field 'settings' is missing or no object");
    }
    int sockets = sockets(file, object.path("limits").path("sockets"));
    PlatformSettings platformSettings = PlatformSettings.read(settings).withPlatformConstraints();
    return new PlatformConfig(
        text(file, object, "name"),
        address(file, object, "listen"),
        address(file, object, "discovery"),
        seed(file, object.path("seed")),
        sockets,
        object.hasNonNull("known") ? Optional.of(object.get("known")) : Optional.empty(),
        platformSettings);
  }

  private static int sockets(Path file, JsonNode sockets) throws InvalidConfigException {
    if (!sockets.isMissingNode() && !(sockets.isIntegralNumber() && sockets.asInt() > 0)) {
      throw new InvalidConfigException(file, "field 'limits.sockets' is no number above 0");
    }
    return sockets.asInt(DEFAULT_SOCKETS);
  }

  private static String text(Path file, JsonNode object, String field)
      throws InvalidConfigException {
    JsonNode value = object.path(field);
    if (!value.isTextual()) {
      throw new InvalidConfigException(file, "field '" + field + "' is missing or no text");
    }
    return value.asText();
  }

  /** An address with its port. Host names are refused: the platform has no name service. */
  private static InetSocketAddress address(Path file, JsonNode object, String field)
      throws InvalidConfigException {
    String text = text(file, object, field);
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, Math.max(0, colon));
    String port = text.substring(colon + 1);
    if (!host.matches(HOST_ADDRESS)
        || !port.matches("[0-9]{1,5}")
        || Integer.parseInt(port) > MAX_PORT) {
      throw new InvalidConfigException(file, "field '" + field + "' is not ADDRESS:PORT: " + text);
    }
    return new InetSocketAddress(host, Integer.parseInt(port));
  }

  /** Hex digits, or a number; the low 64 bits count. */
  private static long seed(Path file, JsonNode seed) throws InvalidConfigException {
    if (seed.isIntegralNumber()) {
      return seed.asLong();
    }
    if (!seed.isTextual() || !seed.asText().matches("[0-9A-Fa-f]{1,64}")) {
      throw new InvalidConfigException(
          file, "field 'seed' is missing, or neither hex digits nor a number");
    }
    return new BigInteger(seed.asText(), 16).longValue();
  }
}
