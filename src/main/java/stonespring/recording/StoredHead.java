package stonespring.recording;

import java.util.List;

/**
 * A recording's head in the form that files contain. The names of the components and their order
 * are part of the file format and stay the same when other identifiers in the code are renamed.
 */
record StoredHead(
    int version,
    String name,
    StoredSettings settings,
    List<String> zones,
    List<StoredType> types,
    List<StoredProxy> proxies,
    long every,
    long length) {

  /**
   * The properties of a request class that the settings do not contain; durations in DeciMillis.
   */
  record StoredType(String name, long opTimeout, long work) {
    static StoredType of(Recording.RequestClassInfo info) {
      return new StoredType(info.name(), info.timeout(), info.serviceTime());
    }

    Recording.RequestClassInfo toInfo() {
      return new Recording.RequestClassInfo(name, opTimeout, work);
    }
  }

  /** A proxy of the recorded fleet; {@code usualOps} is its usual number of requests per second. */
  record StoredProxy(String name, int zone, double usualOps) {
    static StoredProxy of(Recording.ProxyInfo info) {
      return new StoredProxy(info.name(), info.zone(), info.usualRequestsPerSecond());
    }

    Recording.ProxyInfo toInfo() {
      return new Recording.ProxyInfo(name, zone, usualOps);
    }
  }

  static StoredHead of(Recording.Head head) {
    return new StoredHead(
        head.version(),
        head.name(),
        StoredSettings.of(head.settings()),
        head.zones(),
        head.requestClasses().stream().map(StoredType::of).toList(),
        head.proxies().stream().map(StoredProxy::of).toList(),
        head.sampleInterval(),
        head.duration());
  }

  Recording.Head toHead() {
    return new Recording.Head(
        version,
        name,
        settings.toSettings(),
        zones,
        types.stream().map(StoredType::toInfo).toList(),
        proxies.stream().map(StoredProxy::toInfo).toList(),
        every,
        length);
  }
}
