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
 * The configuration of an instance on the operators' platform. It is one JSON file, read at the
 * start, after each hang-up signal (SIGHUP) and after each failed fetch of the endpoint list. When
 * the file is read again, only {@code discovery} is applied. Changes of {@code settings} or {@code
 * listen} need a restart and are logged as warnings; all other fields are ignored. Immutable; no
 * component is null.
 *
 * @param name the instance's name, which is the same after a restart
 * @param listen the address at which proxies and collectors connect
 * @param discovery the address of the service that provides the endpoint list
 * @param seed the seed of the random numbers, a new one for each start
 * @param sockets the number of file descriptors that the process may have open
 * @param cachedEndpointList the last known endpoint list, in the format of the discovery service;
 *     empty if the file has none
 * @param settings the operators' settings object, with the constraints of the platform applied
 */
public record PlatformConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    Optional<JsonNode> cachedEndpointList,
    PlatformSettings settings) {
  /** The largest accepted file size, far above that of the longest endpoint list. */
  private static final long MAX_FILE_BYTES = 32L << 20;

  /** The usual limit of a process, used if the file gives no limit. */
  private static final int DEFAULT_SOCKETS = 1024;

  private static final int MAX_PORT = 65_535;
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
  private static final String HOST_ADDRESS = OCTET + "(\\." + OCTET + "){3}|\\[[0-9A-Fa-f:.]+]";
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Reads a configuration file.
   *
   * @throws InvalidConfigException if the file cannot be read, or a field is missing or invalid
   */
  public static PlatformConfig read(Path file) throws InvalidConfigException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new InvalidConfigException(
            file, "the file is larger than " + MAX_FILE_BYTES + " bytes");
      }
      return decode(file, JSON.readTree(Files.readAllBytes(file)));
    } catch (NoSuchFileException e) {
      throw new InvalidConfigException(file, "the file does not exist");
    } catch (JsonProcessingException e) {
      throw malformed(file, e);
    } catch (IOException e) {
      throw InvalidConfigException.ofReadFailure(file, e);
    } catch (InvalidSettingsException e) {
      throw new InvalidConfigException(file, "field 'settings': " + e.getMessage());
    }
  }

  private static InvalidConfigException malformed(Path file, JsonProcessingException cause) {
    int line = cause.getLocation() == null ? 0 : cause.getLocation().getLineNr();
    String firstLine = cause.getOriginalMessage().split("\n")[0];
    return new InvalidConfigException(file, "line " + line + ": malformed JSON: " + firstLine);
  }

  private static PlatformConfig decode(Path file, JsonNode object) throws InvalidConfigException {
    if (object == null || !object.isObject()) {
      throw new InvalidConfigException(file, "the file must contain a JSON object");
    }
    JsonNode settings = object.path("settings");
    if (!settings.isObject()) {
      throw new InvalidConfigException(file, "field 'settings' is missing or not an object");
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
      throw new InvalidConfigException(
          file, "field 'limits.sockets' must be an integer above 0, got " + sockets);
    }
    return sockets.asInt(DEFAULT_SOCKETS);
  }

  private static String text(Path file, JsonNode object, String field)
      throws InvalidConfigException {
    JsonNode value = object.path(field);
    if (!value.isTextual()) {
      throw new InvalidConfigException(file, "field '" + field + "' is missing or not a string");
    }
    return value.asText();
  }

  /**
   * Reads an address with its port. Host names are rejected: the platform has no name service, and
   * a look-up would block the instance.
   */
  private static InetSocketAddress address(Path file, JsonNode object, String field)
      throws InvalidConfigException {
    String text = text(file, object, field);
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, Math.max(0, colon));
    String port = text.substring(colon + 1);
    if (!host.matches(HOST_ADDRESS)
        || !port.matches("[0-9]{1,5}")
        || Integer.parseInt(port) > MAX_PORT) {
      throw new InvalidConfigException(
          file,
          "field '" + field + "' must be ADDRESS:PORT with a numeric IP address, got " + text);
    }
    return new InetSocketAddress(host, Integer.parseInt(port));
  }

  /**
   * Reads the seed, given as hexadecimal digits or as an integer; only its low 64 bits are used.
   */
  private static long seed(Path file, JsonNode seed) throws InvalidConfigException {
    if (seed.isIntegralNumber()) {
      return seed.asLong();
    }
    if (!seed.isTextual() || !seed.asText().matches("[0-9A-Fa-f]{1,64}")) {
      throw new InvalidConfigException(
          file,
          "field 'seed' is missing, or is neither an integer nor a string of"
              + " 1 to 64 hexadecimal digits");
    }
    return new BigInteger(seed.asText(), 16).longValue();
  }
}
