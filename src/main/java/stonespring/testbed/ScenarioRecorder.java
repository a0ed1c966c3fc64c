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
 * A played scenario as a recording: what came, what ran and what was told, from what was seen;
 * nothing of what was decided.
 */
final class ScenarioRecorder {
  private static final long SPAN = 1_000; // 0.1 ms over which requests are counted together

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

  Recording recording(String name, List<Recording.Proxy> proxies) {
    List<LoadSample> samples = new ArrayList<>();
    Map<String, Integer> zoneOf = new HashMap<>();
    for (Evidence.ProcessChange life : evidence.of(Evidence.ProcessChange.class)) {
      zoneOf.put(life.endpoint(), zone(life.zone()));
      samples.add(
          new LoadSample.Ran(
              at(life.at()),
              life.endpoint(),
              zone(life.zone()),
              life.up() ? day.cores() : 0,
              1,
              life.cold()));
    }
    for (Evidence.Listed told : evidence.of(Evidence.Listed.class)) {
      EndpointRecord.State state = state(told.state());
      // An endpoint that was up before the scenario is long warm; nothing tells how long.
      long started = told.startedAt() > began ? at(told.startedAt()) : 0;
      samples.add(
          new LoadSample.Listed(
              at(told.at()),
              told.endpoint(),
              zoneOf.getOrDefault(told.endpoint(), 0),
              1,
              state,
              started));
    }
    for (Evidence.FalseReport claims : evidence.of(Evidence.FalseReport.class)) {
      samples.add(new LoadSample.Claimed(at(claims.at()), claims.endpoint(), claims.times()));
    }
    for (Scenario.Fault t : day.faults()) {
      if (t.kind().equals("late_reports")) {
        samples.add(new LoadSample.Late(Math.round(t.atMillis() * 10), Math.round(t.size() * 10)));
        samples.add(new LoadSample.Late(Math.round((t.atMillis() + t.forMillis()) * 10), 0));
      }
    }
    arrivals(samples, proxies);
    samples.sort(Comparator.comparingLong(LoadSample::at));
    List<Recording.Type> types = new ArrayList<>();
    for (int k = 0; k < day.assigner().opTypeNames().size(); k++) {
      String type = day.assigner().opTypeNames().get(k);
      types.add(
          new Recording.Type(
              type,
              day.assigner().opTimeouts().get(k),
              Math.round(day.serviceTimeMillis().get(type) * 10)));
    }
    return new Recording(
        new Recording.Head(
            Recording.VERSION,
            name,
            day.assigner().settings(),
            day.assigner().zones(),
            types,
            proxies,
            SPAN,
            Math.round(day.seconds() * 10_000)),
        samples);
  }

  private void arrivals(List<LoadSample> samples, List<Recording.Proxy> proxies) {
    Map<String, Integer> index = new HashMap<>();
    for (int p = 0; p < proxies.size(); p++) {
      index.put(proxies.get(p).name(), p);
    }
    TreeMap<Long, int[]> counts = new TreeMap<>();
    int types = day.assigner().opTypeNames().size();
    for (Evidence.Outcome op : evidence.of(Evidence.Outcome.class)) {
      // Told with the span's end, and played in the span after it: one span late, evenly.
      long span = at(op.askedAt()) / SPAN + 1;
      int proxy = index.get(op.proxy());
      counts
          .computeIfAbsent(span * proxies.size() + proxy, c -> new int[types])[
          day.assigner().opTypeNames().indexOf(op.requestClass())]++;
    }
    counts.forEach(
        (key, requests) ->
            samples.add(
                new LoadSample.Came(
                    key / proxies.size() * SPAN, (int) (key % proxies.size()), requests)));
  }

  private static EndpointRecord.State state(String word) {
    return word.equals("gone")
        ? EndpointRecord.State.REMOVED
        : EndpointRecord.State.valueOf(word.toUpperCase(java.util.Locale.ROOT));
  }
}
