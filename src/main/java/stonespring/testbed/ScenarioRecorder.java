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
 * Converts the evidence of a run into a recording of its load: arrivals, process starts and stops,
 * endpoint list updates, and report faults. The instances' decisions are not recorded.
 */
final class ScenarioRecorder {
  /** Interval over which arrivals are counted in one sample. */
  private static final long SAMPLE_INTERVAL_DECI_MILLIS = 1_000;

  private final Scenario scenario;
  private final Evidence evidence;
  private final double startedMillis;

  /**
   * Creates a recorder for a run that has ended.
   *
   * @param startedMillis when the first client started, on the evidence's clock
   */
  ScenarioRecorder(Scenario scenario, Evidence evidence, double startedMillis) {
    this.scenario = scenario;
    this.evidence = evidence;
    this.startedMillis = startedMillis;
  }

  /** Converts a time on the evidence's clock to the recording's clock; earlier times become 0. */
  private long toDeciMillis(double millis) {
    return Math.max(0, Math.round((millis - startedMillis) * 10));
  }

  private int zoneIndex(String name) {
    return scenario.instance().zones().indexOf(name);
  }

  /** Returns the load of the run as a recording. */
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
            SAMPLE_INTERVAL_DECI_MILLIS,
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
    Map<String, Integer> zoneByEndpoint = new HashMap<>();
    for (Evidence.ProcessChange change : evidence.observationsOf(Evidence.ProcessChange.class)) {
      zoneByEndpoint.put(change.endpoint(), zoneIndex(change.zone()));
      samples.add(
          new LoadSample.ProcessChanged(
              toDeciMillis(change.atMillis()),
              change.endpoint(),
              zoneIndex(change.zone()),
              change.up() ? scenario.endpointModel().cores() : 0,
              1,
              change.warmingUp()));
    }
    for (Evidence.Listed listed : evidence.observationsOf(Evidence.Listed.class)) {
      // Endpoints started before the scenario have warmed up: the recording has no start time (0).
      long startedAtDeciMillis =
          listed.startedAtMillis() > startedMillis ? toDeciMillis(listed.startedAtMillis()) : 0;
      samples.add(
          new LoadSample.EndpointListed(
              toDeciMillis(listed.atMillis()),
              listed.endpoint(),
              zoneByEndpoint.getOrDefault(listed.endpoint(), 0),
              1,
              state(listed.state()),
              startedAtDeciMillis));
    }
  }

  private void addFalseReports(List<LoadSample> samples) {
    for (Evidence.FalseReport report : evidence.observationsOf(Evidence.FalseReport.class)) {
      samples.add(
          new LoadSample.CapacityClaimed(
              toDeciMillis(report.atMillis()),
              report.endpoint(),
              report.claimedCapacityMultiple()));
    }
  }

  private void addLateReports(List<LoadSample> samples) {
    for (Scenario.Fault fault : scenario.faults()) {
      if (fault.kind() == FaultKind.LATE_REPORTS) {
        long startDeciMillis = Math.round(fault.atMillis() * 10);
        long endDeciMillis = Math.round((fault.atMillis() + fault.durationMillis()) * 10);
        samples.add(
            new LoadSample.ReportsDelayed(startDeciMillis, Math.round(fault.magnitude() * 10)));
        samples.add(new LoadSample.ReportsDelayed(endDeciMillis, 0));
      }
    }
  }

  private void addArrivals(List<LoadSample> samples, List<Recording.ProxyInfo> proxies) {
    Map<String, Integer> proxyIndexByName = new HashMap<>();
    for (int p = 0; p < proxies.size(); p++) {
      proxyIndexByName.put(proxies.get(p).name(), p);
    }
    List<String> classNames = scenario.instance().requestClasses().names();
    TreeMap<Long, int[]> requestCounts = new TreeMap<>();
    for (Evidence.Outcome outcome : evidence.observationsOf(Evidence.Outcome.class)) {
      // A sample is dated at the end of its interval, so replay shifts all requests by one
      // interval.
      long sampleIndex = toDeciMillis(outcome.startedAtMillis()) / SAMPLE_INTERVAL_DECI_MILLIS + 1;
      // Orders the arrivals by sample, then by proxy.
      long sampleAndProxy = sampleIndex * proxies.size() + proxyIndexByName.get(outcome.proxy());
      int[] byClass =
          requestCounts.computeIfAbsent(sampleAndProxy, k -> new int[classNames.size()]);
      byClass[classNames.indexOf(outcome.requestClass())]++;
    }
    requestCounts.forEach(
        (sampleAndProxy, byClass) ->
            samples.add(
                new LoadSample.Arrivals(
                    sampleAndProxy / proxies.size() * SAMPLE_INTERVAL_DECI_MILLIS,
                    (int) (sampleAndProxy % proxies.size()),
                    byClass)));
  }

  private static EndpointRecord.State state(String listed) {
    return listed.equals("gone")
        ? EndpointRecord.State.REMOVED
        : EndpointRecord.State.valueOf(listed.toUpperCase(Locale.ROOT));
  }
}
