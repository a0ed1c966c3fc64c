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
 * The settings of one instance, decoded from a settings script. Immutable; no component is null.
 *
 * @param name the instance's name in logs
 * @param listen the address at which proxies connect
 * @param settings the configuration of the decision engine
 * @param zones the zone names, indexed by zone
 * @param requestClasses the names and timeouts of the request classes
 * @param endpointList the source of the endpoint list, and its cache file
 * @param weightProposals whether the weight solver proposes route weights to the decision engine
 * @param limits limits on the resources that the instance holds
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

  /** The highest snapshot port: the two ports that follow it are used as well. */
  static final int MAX_SNAPSHOT_PORT = MAX_PORT - 2;

  /**
   * The address at which the instance listens.
   *
   * @param port the snapshot port, or 0 for any free port; updates are published on the next port,
   *     and the collector listens on the port after that
   */
  public record ListenAddress(String host, int port) {}

  /**
   * The names and timeouts of the request classes, both indexed by request class.
   *
   * @param timeoutsDeciMillis the request timeouts, in {@link stonespring.model.DeciMillis}
   */
  public record RequestClasses(List<String> names, List<Long> timeoutsDeciMillis) {}

  /**
   * The source of the endpoint list, and the file in which the instance caches the list.
   *
   * @param cacheFile the file that keeps the last endpoint list across restarts, if there is one
   */
  public record EndpointListSettings(Source source, Optional<Path> cacheFile) {}

  /** A source of the endpoint list. */
  public sealed interface Source {
    /** A file that is read again whenever it changes. */
    record FromFile(Path path) implements Source {}

    /**
     * A service registry that is watched for changes.
     *
     * @param waitSeconds the longest time for which the registry may hold a watch request open
     */
    record FromRegistry(String host, int port, String service, int waitSeconds) implements Source {}
  }

  /**
   * Limits on the resources that an instance holds, and its batch interval.
   *
   * @param proxies the number of proxies known at the same time
   * @param connections the number of connections open at the same time
   * @param pendingBytes the number of bytes waiting to be written to one connection
   * @param inboxMessages the number of messages waiting for the engine thread
   * @param batchMillis how long events are collected into one batch before the decision engine
   *     processes it, in milliseconds
   */
  public record Limits(
      int proxies, int connections, int pendingBytes, int inboxMessages, int batchMillis) {}

  /**
   * Runs a settings script and decodes its settings.
   *
   * @throws ScriptException with all errors of the script or of its settings
   */
  public static InstanceSettings read(Path file) throws ScriptException {
    List<SettingsError> errors = new ArrayList<>();
    Section globals = Section.of(file.toString(), Script.run(file), errors);
    InstanceSettings settings = decode(globals, file);
    globals.ignoreKey(SettingsKeys.SCENARIO); // a scenario may use the same script
    globals.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new ScriptException(errors);
    }
    return settings;
  }

  /**
   * Decodes the instance settings of a script that may also contain other keys. Errors are recorded
   * in the section.
   *
   * @param globals the names that the script sets at its top level
   * @param file the path of the script; relative paths in it are resolved against its folder
   */
  public static InstanceSettings decode(Section globals, Path file) {
    return new InstanceSettingsDecoder(globals, file).decode();
  }

  /**
   * Returns a copy of these settings with values given on the command line; a null argument keeps
   * the current value.
   *
   * @throws IllegalArgumentException if a port is out of range, or if a registry port is given
   *     although the endpoint list comes from a file
   */
  public InstanceSettings withOverrides(
      Integer portOverride, Integer registryPortOverride, Path cacheFileOverride) {
    if (portOverride != null && (portOverride < 0 || portOverride > MAX_SNAPSHOT_PORT)) {
      throw new IllegalArgumentException(
          "the port must be from 0 to " + MAX_SNAPSHOT_PORT + ", got " + portOverride);
    }
    Source source = endpointList.source();
    if (registryPortOverride != null) {
      source = withRegistryPort(source, registryPortOverride);
    }
    Optional<Path> cacheFile =
        cacheFileOverride == null ? endpointList.cacheFile() : Optional.of(cacheFileOverride);
    return new InstanceSettings(
        name,
        portOverride == null ? listen : new ListenAddress(listen.host(), portOverride),
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
          "cannot set the registry port to "
              + port
              + ": expected a port from 1 to "
              + MAX_PORT
              + ", and an endpoint list that comes from a registry, not from a file");
    }
    return new Source.FromRegistry(
        registry.host(), port, registry.service(), registry.waitSeconds());
  }
}
