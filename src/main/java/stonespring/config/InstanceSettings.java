package stonespring.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import stonespring.config.script.Script;
import stonespring.config.script.ScriptException;
import stonespring.config.script.SettingsError;
import stonespring.model.Settings;

/**
 * The settings of one instance, as a settings script holds them. Immutable; no component is null.
 *
 * @param name what the instance is called in logs
 * @param listen where proxies connect
 * @param settings what the decisions are configured with
 * @param zones the zones' names, by position
 * @param requestClasses the names and timeouts of the request classes
 * @param endpointList where the endpoint list comes from
 * @param weightProposals whether the weight solver proposes weights to the decisions
 * @param limits bounds on what the instance holds
 */
public record InstanceSettings(
    String name,
    ListenAddress listen,
    Settings settings,
    List<String> zones,
    RequestClasses requestClasses,
    EndpointListSettings endpointList,
    boolean weightProposals,
    Limits limits) {
  static final int MAX_PORT = 65_535;

  /** The most that a snapshot port can be: two more ports follow it. */
  static final int MAX_SNAPSHOT_PORT = MAX_PORT - 2;

  /**
   * An address to listen at.
   *
   * @param port the snapshot port, 0 for any; updates go out at the next one, the collector listens
   *     at the one after
   */
  public record ListenAddress(String host, int port) {}

  /**
   * What the request classes are called and when they time out, by position.
   *
   * @param timeoutsDeciMillis in {@link stonespring.model.DeciMillis}
   */
  public record RequestClasses(List<String> names, List<Long> timeoutsDeciMillis) {}

  /**
   * Where the endpoint list comes from.
   *
   * @param cacheFile where the last list is kept over a restart
   */
  public record EndpointListSettings(Source source, Optional<Path> cacheFile) {}

  /** A source of the endpoint list. */
  public sealed interface Source {
    /** A file that is read anew when it changes. */
    record FromFile(Path path) implements Source {}

    /**
     * A registry that is watched.
     *
     * @param waitSeconds how long the registry may hold a request open
     */
    record FromRegistry(String host, int port, String service, int waitSeconds) implements Source {}
  }

  /**
   * Bounds on what an instance holds.
   *
   * @param proxies proxies that are known at once
   * @param connections open connections
   * @param pendingBytes bytes that wait to be written to one connection
   * @param inboxMessages messages that wait for the event loop
   * @param batchMillis how long events are gathered before the decisions are asked
   */
  public record Limits(
      int proxies, int connections, int pendingBytes, int inboxMessages, int batchMillis) {}

  /**
   * Runs a script and decodes its settings.
   *
   * @throws ScriptException with every error of the settings
   */
  public static InstanceSettings read(Path file) throws ScriptException {
    List<SettingsError> errors = new ArrayList<>();
    Section globals = Section.of(file.toString(), Script.run(file), errors);
    InstanceSettings settings = decode(globals, file);
    globals.ignoreKey(SettingsKeys.SCENARIO); // the script may serve a scenario too
    globals.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new ScriptException(errors);
    }
    return settings;
  }

  /**
   * Decodes the instance's part of a script that may hold more; errors are recorded by the section.
   *
   * @param file the script; relative paths start in its folder
   */
  public static InstanceSettings decode(Section globals, Path file) {
    return new InstanceSettingsDecoder(globals, file).decode();
  }

  /**
   * These settings with the values that a command line overrides; null leaves a value as it is.
   *
   * @throws IllegalArgumentException if a port is out of range, or there is no registry
   */
  public InstanceSettings withOverrides(
      Integer otherPort, Integer registryPort, Path otherCacheFile) {
    if (otherPort != null && (otherPort < 0 || otherPort > MAX_SNAPSHOT_PORT)) {
      throw new IllegalArgumentException("the port is outside 0 to " + MAX_SNAPSHOT_PORT);
    }
    Source source = endpointList.source();
    if (registryPort != null) {
      source = withRegistryPort(source, registryPort);
    }
    Optional<Path> cacheFile =
        otherCacheFile == null ? endpointList.cacheFile() : Optional.of(otherCacheFile);
    return new InstanceSettings(
        name,
        otherPort == null ? listen : new ListenAddress(listen.host(), otherPort),
        settings,
        zones,
        requestClasses,
        new EndpointListSettings(source, cacheFile),
        weightProposals,
        limits);
  }

  private static Source withRegistryPort(Source source, int port) {
    if (!(source instanceof Source.FromRegistry registry) || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException(
          "the registry's port is outside 1 to "
              + MAX_PORT
              + ", or the endpoint list comes from a file");
    }
    return new Source.FromRegistry(
        registry.host(), port, registry.service(), registry.waitSeconds());
  }
}
