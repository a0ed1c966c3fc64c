package stonespring.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonespring.model.EndpointRecord;
import stonespring.recording.LoadSample;
import stonespring.recording.Recording;

/**
 * A played day as a recording: what came, what ran and what was told, from what was seen; nothing
 * of what was decided.
 */
final class ScenarioRecorder {
  private static final long EVERY = 1_000; // 0.1 ms over which ops are counted together

  private final Scenario day;
  private final Evidence evidence;
  private final double began;

  /**
   * @param began when the first client started, on the evidence's clock
   */
  ScenarioRecorder(Scenario day, Evidence evidence, double began) {
    this.day = day;
    this.evidence = evidence;
    this.began = began;
  }

  private long at(double millis) {
    return Math.max(0, Math.round((millis - began) * 10));
  }

  private int zone(String name) {
    return day.assigner().zones().indexOf(name);
  }

  Recording recording(String name, List<Recording.ProxyInfo> proxies) {
    List<LoadSample> moments = new ArrayList<>();
    Map<String, Integer> zoneOf = new HashMap<>();
    for (Evidence.Life life : evidence.of(Evidence.Life.class)) {
      zoneOf.put(life.task(), zone(life.zone()));
      moments.add(
          new LoadSample.ProcessChanged(
              at(life.at()),
              life.task(),
              zone(life.zone()),
              life.up() ? day.cores() : 0,
              1,
              life.cold()));
    }
    for (Evidence.Told told : evidence.of(Evidence.Told.class)) {
      EndpointRecord.State state = state(told.state());
      // A task that was up before the day is long warm; nothing tells how long.
      long started = told.startedAt() > began ? at(told.startedAt()) : 0;
      moments.add(
          new LoadSample.EndpointListed(
              at(told.at()), told.task(), zoneOf.getOrDefault(told.task(), 0), 1, state, started));
    }
    for (Evidence.Claims claims : evidence.of(Evidence.Claims.class)) {
      moments.add(new LoadSample.CapacityClaimed(at(claims.at()), claims.task(), claims.times()));
    }
    for (Scenario.Trouble t : day.troubles()) {
      if (t.kind().equals("late_reports")) {
        moments.add(
            new LoadSample.ReportsDelayed(
                Math.round(t.atMillis() * 10), Math.round(t.size() * 10)));
        moments.add(
            new LoadSample.ReportsDelayed(Math.round((t.atMillis() + t.forMillis()) * 10), 0));
      }
    }
    arrivals(moments, proxies);
    moments.sort(Comparator.comparingLong(LoadSample::at));
    List<Recording.RequestClassInfo> types = new ArrayList<>();
    for (int k = 0; k < day.assigner().requestClasses().names().size(); k++) {
      String type = day.assigner().requestClasses().names().get(k);
      types.add(
          new Recording.RequestClassInfo(
              type,
              day.assigner().requestClasses().timeouts().get(k),
              Math.round(day.workMillis().get(type) * 10)));
    }
    return new Recording(
        new Recording.Head(
            Recording.VERSION,
            name,
            day.assigner().settings(),
            day.assigner().zones(),
            types,
            proxies,
            EVERY,
            Math.round(day.seconds() * 10_000)),
        moments);
  }

  private void arrivals(List<LoadSample> moments, List<Recording.ProxyInfo> proxies) {
    Map<String, Integer> index = new HashMap<>();
    for (int p = 0; p < proxies.size(); p++) {
      index.put(proxies.get(p).name(), p);
    }
    TreeMap<Long, int[]> counts = new TreeMap<>();
    int types = day.assigner().requestClasses().names().size();
    for (Evidence.Outcome op : evidence.of(Evidence.Outcome.class)) {
      // Told with the span's end, and played in the span after it: one span late, evenly.
      long span = at(op.askedAt()) / EVERY + 1;
      int proxy = index.get(op.proxy());
      counts
          .computeIfAbsent(span * proxies.size() + proxy, c -> new int[types])[
          day.assigner().requestClasses().names().indexOf(op.opType())]++;
    }
    counts.forEach(
        (key, ops) ->
            moments.add(
                new LoadSample.Arrivals(
                    key / proxies.size() * EVERY, (int) (key % proxies.size()), ops)));
  }

  private static EndpointRecord.State state(String word) {
    return word.equals("gone")
        ? EndpointRecord.State.REMOVED
        : EndpointRecord.State.valueOf(word.toUpperCase(java.util.Locale.ROOT));
  }
}
