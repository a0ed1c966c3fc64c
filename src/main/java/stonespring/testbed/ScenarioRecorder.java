package stonespring.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import stonespring.model.EndpointRecord;
import stonespring.recording.LoadSample;
import stonespring.recording.Recording;

/**
 * Turns the evidence of a run into a recording of its load: arrivals, processes and endpoint lists,
 * nothing of what was decided.
 */
final class ScenarioRecorder {
  private static final long SPAN = 1_000; // in 0.1 ms; requests in it are counted together

  private final Scenario scenario;
  private final Evidence evidence;
  private final double startedMillis;

  /**
   * Prepares to write a run that has ended.
   *
   * @param startedMillis when the first client started, on the evidence's clock
   */
  ScenarioRecorder(Scenario scenario, Evidence evidence, double startedMillis) {
    this.scenario = scenario;
    this.evidence = evidence;
    this.startedMillis = startedMillis;
  }

  private long at(double millis) {
    return Math.max(0, Math.round((millis - startedMillis) * 10));
  }

  private int zone(String name) {
    return scenario.instance().zones().indexOf(name);
  }

  /** The run as a recording with a name. */
  Recording recording(String name, List<Recording.ProxyInfo> proxies) {
    List<LoadSample> samples = new ArrayList<>();
    addProcesses(samples);
    addFalseReports(samples);
    addLateReports(samples);
    addArrivals(samples, proxies);
    samples.sort(Comparator.comparingLong(LoadSample::at));
    Recording.Head head =
        new Recording.Head(
            Recording.VERSION,
            name,
            scenario.instance().settings(),
            scenario.instance().zones(),
            requestClasses(),
            proxies,
            SPAN,
            Math.round(scenario.durationSeconds() * 10_000));
    return new Recording(head, samples);
  }

  private List<Recording.RequestClassInfo> requestClasses() {
    List<Recording.RequestClassInfo> classes = new ArrayList<>();
    for (int k = 0; k < scenario.instance().requestClasses().names().size(); k++) {
      String name = scenario.instance().requestClasses().names().get(k);
      classes.add(
          new Recording.RequestClassInfo(
              name,
              scenario.instance().requestClasses().timeoutsDeciMillis().get(k),
              Math.round(scenario.endpointModel().serviceTimeMillis().get(name) * 10)));
    }
    return classes;
  }

  private void addProcesses(List<LoadSample> samples) {
    Map<String, Integer> zones = new HashMap<>();
    for (Evidence.ProcessChange change : evidence.of(Evidence.ProcessChange.class)) {
      zones.put(change.endpoint(), zone(change.zone()));
      samples.add(
          new LoadSample.ProcessChanged(
              at(change.at()),
              change.endpoint(),
              zone(change.zone()),
              change.up() ? scenario.endpointModel().cores() : 0,
              1,
              change.warmingUp()));
    }
    for (Evidence.Listed listed : evidence.of(Evidence.Listed.class)) {
      // An endpoint that ran before the start has warmed up long ago; no start is known of it.
      long started = listed.startedAt() > startedMillis ? at(listed.startedAt()) : 0;
      samples.add(
          new LoadSample.EndpointListed(
              at(listed.at()),
              listed.endpoint(),
              zones.getOrDefault(listed.endpoint(), 0),
              1,
              state(listed.state()),
              started));
    }
  }

  private void addFalseReports(List<LoadSample> samples) {
    for (Evidence.FalseReport report : evidence.of(Evidence.FalseReport.class)) {
      samples.add(
          new LoadSample.CapacityClaimed(at(report.at()), report.endpoint(), report.multiple()));
    }
  }

  private void addLateReports(List<LoadSample> samples) {
    for (Scenario.Fault fault : scenario.faults()) {
      if (fault.kind() == FaultKind.LATE_REPORTS) {
        long start = Math.round(fault.atMillis() * 10);
        long end = Math.round((fault.atMillis() + fault.durationMillis()) * 10);
        samples.add(new LoadSample.ReportsDelayed(start, Math.round(fault.magnitude() * 10)));
        samples.add(new LoadSample.ReportsDelayed(end, 0));
      }
    }
  }

  private void addArrivals(List<LoadSample> samples, List<Recording.ProxyInfo> proxies) {
    Map<String, Integer> proxyIndex = new HashMap<>();
    for (int p = 0; p < proxies.size(); p++) {
      proxyIndex.put(proxies.get(p).name(), p);
    }
    List<String> classNames = scenario.instance().requestClasses().names();
    TreeMap<Long, int[]> counts = new TreeMap<>();
    for (Evidence.Outcome outcome : evidence.of(Evidence.Outcome.class)) {
      // A sample stands at its span's end: all requests are one span late, evenly.
      long span = at(outcome.askedAt()) / SPAN + 1;
      long key = span * proxies.size() + proxyIndex.get(outcome.proxy());
      int[] byClass = counts.computeIfAbsent(key, k -> new int[classNames.size()]);
      byClass[classNames.indexOf(outcome.requestClass())]++;
    }
    counts.forEach(
        (key, byClass) ->
            samples.add(
                new LoadSample.Arrivals(
                    key / proxies.size() * SPAN, (int) (key % proxies.size()), byClass)));
  }

  private static EndpointRecord.State state(String listed) {
    return listed.equals("gone")
        ? EndpointRecord.State.REMOVED
        : EndpointRecord.State.valueOf(listed.toUpperCase(Locale.ROOT));
  }
}
