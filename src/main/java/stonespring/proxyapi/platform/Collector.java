package stonespring.proxyapi.platform;

import stonespring.model.ZoneId;

/** The collector of a zone, a peer that forwards the reports of the zone's proxies. */
record Collector(ZoneId zone) implements PlatformPeer {
  @Override
  public String toString() {
    return "the collector of zone " + zone.index();
  }
}
