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
 * Runs one scenario on loopback and has it judged: starts the fleet, injects the faults in time,
 * waits for the last answers. One run an object; all of it on the caller's thread.
 */
public final class ScenarioRun {
  private static final Logger LOG = LoggerFactory.getLogger(ScenarioRun.class);
  private static final double MILLIS_PER_SECOND = 1000;
  private static final double ANSWER_MARGIN_MILLIS = 1000;

  private final Scenario scenario;
  private final Path script;
  private final Path folder;
  private final Evidence evidence = new Evidence(true);
  private final Timeline timeline = new Timeline(evidence);
  private final ScenarioFleet fleet;

  /**
   * Prepares a run.
   *
   * @param script the scenario's file, which the instances read as their settings
   * @param seed of what is drawn: sizes, requests, what faults strike
   * @param folder where the instances' logs and saved lists go
   */
  public ScenarioRun(Scenario scenario, Path script, long seed, Path folder) {
    this.scenario = scenario;
    this.script = script;
    this.folder = folder;
    this.fleet = new ScenarioFleet(scenario, evidence, timeline, new SplittableRandom(seed));
  }

  /** Runs the scenario to its end and judges it. */
  public InvariantChecker.Verdict run() throws ScenarioFailedException, InterruptedException {
    try {
      return runAndJudge();
    } catch (InterruptedException | ScenarioFailedException e) {
      throw e;
    } catch (Exception e) {
      LOG.error("the scenario broke off", e);
      throw new ScenarioFailedException("the scenario broke off: " + e, e);
    } finally {
      fleet.close();
    }
  }

  private InvariantChecker.Verdict runAndJudge() throws Exception {
    double durationMillis = scenario.durationSeconds() * MILLIS_PER_SECOND;
    fleet.start(script, folder);
    timeline.start();
    fleet.startClients();
    FaultInjector injector = new FaultInjector(fleet, timeline);
    for (Scenario.Fault fault : scenario.faults()) {
      timeline.at(fault.atMillis(), () -> injector.inject(fault));
    }
    timeline.play(durationMillis);
    fleet.stopClients();
    awaitAnswers();
    return checker().judge(timeline.startedMillis() + durationMillis);
  }

  private void awaitAnswers() throws ScenarioFailedException, InterruptedException {
    double longestTimeoutMillis =
        scenario.instance().requestClasses().timeoutsDeciMillis().stream()
                .mapToLong(t -> t)
                .max()
                .orElse(0)
            / 10.0;
    double until = evidence.now() + longestTimeoutMillis + ANSWER_MARGIN_MILLIS;
    while (fleet.openRequests() > 0 && evidence.now() < until) {
      Thread.sleep(5);
    }
    if (fleet.openRequests() > 0) {
      throw new ScenarioFailedException(
          fleet.openRequests() + " requests had no final answer after their request timeout");
    }
  }

  /** The load of the run as a recording; after {@link #run}. */
  public Recording recording(String name) {
    return new ScenarioRecorder(scenario, evidence, timeline.startedMillis())
        .recording(
            name,
            fleet.proxies().stream()
                .map(p -> new Recording.ProxyInfo(p.name(), p.zone(), p.requestsPerSecond()))
                .toList());
  }

  private InvariantChecker checker() {
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

  /** Makes a temporary folder for a run's files. */
  public static Path folder() throws IOException {
    return Files.createTempDirectory("stonespring-day");
  }
}
