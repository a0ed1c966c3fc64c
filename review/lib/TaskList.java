package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of tasks that discovery tells, with its versions. Thread-safe; waiters are notified. */
final class TaskList {
  /** One entry. {@code changedAt}: since when it is Ready, or is not (System.nanoTime). */
  record Entry(String host, String dial, String site, String health, long bornMs, long seq, long changedAt) {
    String json() {
      return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"" + site
          + "\",\"class\":\"m2\",\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }
  }

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long seq = 40;

  synchronized void put(String host, String dial, String site, String health, long bornMs) {
    seq++;
    Entry before = entries.get(host);
    boolean awayBefore = before != null && !before.health().equals("Ready");
    long changedAt = awayBefore && !health.equals("Ready") ? before.changedAt() : System.nanoTime();
    entries.put(host, new Entry(host, dial, site, health, bornMs, seq, changedAt));
    notifyAll();
  }

  synchronized void setHealth(String host, String health) {
    Entry e = entries.get(host);
    put(host, e.dial(), e.site(), health, e.bornMs());
  }

  /** Changes several entries in one version step each, before anybody can look. */
  synchronized void setHealth(List<String> hosts, String health) {
    hosts.forEach(host -> setHealth(host, health));
  }

  synchronized Entry get(String host) {
    return entries.get(host);
  }

  synchronized long seq() {
    return seq;
  }

  synchronized List<Entry> listed() {
    return entries.values().stream().filter(e -> !e.health().equals("Gone")).toList();
  }

  synchronized List<Entry> all() {
    return new ArrayList<>(entries.values());
  }

  synchronized List<Entry> changesSince(long since) {
    return entries.values().stream().filter(e -> e.seq() > since).toList();
  }

  synchronized void awaitNewer(long than, long millis) throws InterruptedException {
    if (seq <= than) {
      wait(millis);
    }
  }

  static String json(long seq, boolean whole, List<Entry> shown) {
    StringBuilder b = new StringBuilder("{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[");
    String separator = "";
    for (Entry e : shown) {
      b.append(separator).append(e.json());
      separator = ",";
    }
    return b.append("]}").toString();
  }

  synchronized String wholeJson() {
    return json(seq, true, listed());
  }
}
