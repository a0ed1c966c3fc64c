package stonespring.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.recording.Recording;

/**
 * Runs a scenario on loopback: starts the fleet, injects the faults at their times, waits for the
 * last answers, and checks the invariants. An object serves for one run, on the caller's thread.
 */
public final class ScenarioRun {
  private static final Logger LOG = LoggerFactory.getLogger(ScenarioRun.class);
  private static final double MILLIS_PER_SECOND = 1000;

  /** Wait beyond the longest request timeout for the last answers. */
  private static final double ANSWER_MARGIN_MILLIS = 1000;

  private final Scenario scenario;
  private final Path script;
  private final Path folder;
  private final Evidence evidence = new Evidence(true);
  private final Timeline timeline = new Timeline(evidence);
  private final ScenarioFleet fleet;

  /**
   * Creates a run without starting it.
   *
   * @param script the scenario's script file, from which the instances also read their settings
   * @param seed determines all random draws: proxy sizes, requests, and the targets of faults
   * @param folder receives the instances' logs and cached endpoint lists
   */
  public ScenarioRun(Scenario scenario, Path script, long seed, Path folder) {
    this.scenario = scenario;
    this.script = script;
    this.folder = folder;
    this.fleet = new ScenarioFleet(scenario, evidence, timeline, new SplittableRandom(seed));
  }

  /**
   * Runs the scenario to its end and checks its invariants.
   *
   * @throws ScenarioFailedException if it can't be run to its end
   */
  public InvariantChecker.Verdict run() throws ScenarioFailedException, InterruptedException {
    try {
      return runAndCheck();
    } catch (InterruptedException | ScenarioFailedException e) {
      throw e;
    } catch (Exception e) {
      LOG.error("the scenario failed before its end: its invariants are not checked", e);
      throw new ScenarioFailedException("the scenario failed before its end: " + e, e);
    } finally {
      fleet.close();
    }
  }

  private InvariantChecker.Verdict runAndCheck() throws Exception {
    double durationMillis = scenario.durationSeconds() * MILLIS_PER_SECOND;
    fleet.start(script, folder);
    timeline.start();
    fleet.startClients();
    FaultInjector injector = new FaultInjector(fleet, timeline);
    for (Scenario.Fault fault : scenario.faults()) {
      timeline.scheduleAt(fault.atMillis(), () -> injector.inject(fault));
    }
    timeline.runUntil(durationMillis);
    fleet.stopClients();
    awaitAnswers();
    return createChecker().check(timeline.startedMillis() + durationMillis);
  }

  private void awaitAnswers() throws ScenarioFailedException, InterruptedException {
    double longestTimeoutMillis =
        scenario.instance().requestClasses().timeoutsDeciMillis().stream()
                .mapToLong(t -> t)
                .max()
                .orElse(0)
            / 10.0;
    double deadlineMillis = evidence.now() + longestTimeoutMillis + ANSWER_MARGIN_MILLIS;
    while (fleet.openRequests() > 0 && evidence.now() < deadlineMillis) {
      Thread.sleep(5);
    }
    if (fleet.openRequests() > 0) {
      throw new ScenarioFailedException(
          fleet.openRequests()
              + " requests have no final answer although the longest request timeout has passed");
    }
  }

  /** Returns the load of the run as a recording; to be called after {@link #run}. */
  public Recording recording(String name) {
    return new ScenarioRecorder(scenario, evidence, timeline.startedMillis())
        .recording(
            name,
            fleet.proxies().stream()
                .map(p -> new Recording.ProxyInfo(p.name(), p.zone(), p.requestsPerSecond()))
                .toList());
  }

  private InvariantChecker createChecker() {
    Settings settings = scenario.instance().settings();
    Map<String, InvariantChecker.RequestClassPolicy> policies = new LinkedHashMap<>();
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      RequestClass requestClass = settings.requestClasses().get(k);
      policies.put(
          scenario.instance().requestClasses().names().get(k),
          new InvariantChecker.RequestClassPolicy(
              requestClass.latencyObjective() / 10.0,
              requestClass.priorityWeight(),
              requestClass.retrySafety() == RetrySafety.IDEMPOTENT));
    }
    InvariantChecker.Limits limits =
        new InvariantChecker.Limits(
            settings.routing().maxTimeWithoutEndpoint() / 10.0,
            scenario.drainGraceMillis(),
            settings.slowStart().window() / 10.0,
            settings.channel().maxMessagesPerProxy(),
            settings.channel().messageWindow() / 10.0);
    return new InvariantChecker(limits, policies, evidence);
  }

  /** Creates a temporary folder for the files of a run. */
  public static Path createTemporaryFolder() throws IOException {
    return Files.createTempDirectory("stonespring-day");
  }
}
