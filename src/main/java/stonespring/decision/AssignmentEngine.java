package stonespring.decision;

import java.util.ArrayList;
import java.util.List;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.DeterministicRandom;
import stonespring.model.Event;
import stonespring.model.Settings;

/**
 * Decides on the route tables of all proxies that are connected to one instance. Each event updates
 * the engine's state immediately; commands are issued at the end of a batch. About once per report
 * interval, a batch that contains new reports runs a scheduling round, which may change every
 * table. Batches between rounds only send urgent updates.
 *
 * <p>A sharded fleet gets no route tables from this engine: its proxies use the tables that are
 * stored for their shards.
 *
 * <p>Equal settings, seeds and events give equal commands. Not thread-safe.
 */
public final class AssignmentEngine implements DecisionEngine {
  private final Settings settings;
  private final EngineClock clock;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final Estimates estimates;
  private final CommandBatch batch;
  private final ChannelBudget budget;
  private final EngineTimers timers;
  private final EndpointListWatcher listWatcher;
  private final ExclusionNotifier exclusions;
  private final UrgentUpdates urgentUpdates;
  private final AdmissionController admission;
  private final EndpointIntroducer introducer;
  private final ProposalBlender proposals;
  private final RouteSelector routeSelector;
  private final WeightOptimizer weightOptimizer;
  private final SlowStartGuard slowStart;
  private final InFlightMoves inFlight;
  private final TableUpdater updater;
  private final UpdateScheduler scheduler;
  private boolean fleetChanged;
  private boolean initialLimitsPublished;

  /**
   * Creates an engine that knows no endpoint and no proxy.
   *
   * @param seed the seed of the engine's random number generator
   * @param now the current time of the host's clock, in DeciMillis
   */
  public AssignmentEngine(Settings settings, long seed, long now) {
    this.settings = settings;
    clock = new EngineClock(now);
    DeterministicRandom random = new DeterministicRandom(seed);
    LatencyModel latency = new LatencyModel(settings.requestClasses());
    ReportCadence cadence = new ReportCadence(settings, clock);
    endpoints = new EndpointRegistry(settings, clock, latency);
    proxies = new ProxyRegistry(settings.requestClasses().size());
    TrafficEstimator traffic = new TrafficEstimator(settings, clock, proxies);
    CapacityEstimator capacity = new CapacityEstimator(endpoints, traffic);
    estimates = new Estimates(latency, cadence, traffic, capacity);
    batch = new CommandBatch(settings.channel());
    budget = new ChannelBudget(settings.channel(), clock, proxies, batch);
    timers = new EngineTimers(settings, clock, batch);
    listWatcher = new EndpointListWatcher(settings, clock, random, batch, timers);
    exclusions = new ExclusionNotifier(settings, clock, endpoints, proxies, batch, budget);
    urgentUpdates =
        new UrgentUpdates(settings, clock, endpoints, proxies, cadence, budget, exclusions);
    admission =
        new AdmissionController(settings, clock, endpoints, proxies, estimates, batch, budget);
    introducer = new EndpointIntroducer(clock, random, endpoints, proxies, capacity, exclusions);
    proposals = new ProposalBlender(clock, endpoints);
    routeSelector = new RouteSelector(settings, random, endpoints, estimates);
    weightOptimizer = new WeightOptimizer(settings, endpoints, capacity);
    OutlierEjectionModel ejection = new OutlierEjectionModel(settings.routing(), endpoints);
    slowStart = new SlowStartGuard(settings, endpoints, proxies, traffic, ejection, admission);
    inFlight = new InFlightMoves(clock);
    updater = new TableUpdater(endpoints, batch, budget, exclusions, inFlight);
    scheduler =
        new UpdateScheduler(settings, endpoints, proxies, estimates, budget, inFlight, updater);
  }

  @Override
  public void handle(long now, Event event) {
    clock.advanceTo(now);
    if (event instanceof Event.EndpointOutcomes outcomes) {
      handleOutcomes(outcomes);
    } else if (event instanceof Event.UnlistedEndpointOutcomes unlisted) {
      endpoints.recordUnlistedOutcomes(unlisted.outcomes());
    } else if (event instanceof Event.ProxyEvent proxyEvent) {
      handleProxyEvent(proxyEvent);
    } else {
      handleFleetEvent(event);
    }
  }

  private void handleOutcomes(Event.EndpointOutcomes outcomes) {
    if (endpoints.recordOutcomes(outcomes)) {
      admission.recordOutcomes(outcomes);
      estimates.cadence().recordReport();
    }
  }

  private void handleProxyEvent(Event.ProxyEvent event) {
    if (event instanceof Event.ProxyConnected connected) {
      proxies.findOrAdd(connected.proxy()).markConnected(connected, clock.now());
      fleetChanged = true;
      return;
    }
    proxies.find(event.proxy()).ifPresent(proxy -> handleEventOfKnownProxy(proxy, event));
  }

  private void handleEventOfKnownProxy(ProxyState proxy, Event.ProxyEvent event) {
    if (event instanceof Event.ProxyRequestRate report) {
      proxy.requestRate().record(report);
    } else if (event instanceof Event.UpdateAcknowledged acknowledged) {
      budget
          .recordAcknowledgement(proxy, acknowledged.ack())
          .ifPresent(position -> inFlight.recordAcknowledgement(proxy, position));
    } else if (event instanceof Event.WeightsProposed proposed) {
      storeProposal(proxy, proposed);
    } else if (event instanceof Event.ProxyDisconnected) {
      proxy.markDisconnected(clock.now());
      budget.recordDisconnection(proxy);
      inFlight.recordDisconnection(proxy);
    }
  }

  private void storeProposal(ProxyState proxy, Event.WeightsProposed proposed) {
    proxy.proposal().restart(clock.now());
    for (Event.WeightsProposed.Share share : proposed.routes()) {
      if (share.weight() > 0) {
        endpoints
            .find(share.endpoint())
            .ifPresent(endpoint -> proxy.proposal().put(endpoint, share.weight()));
      }
    }
  }

  /**
   * Handles an event that is neither about a single proxy nor a report of outcomes. Also requests
   * the endpoint list watch and starts the periodic timer if they are not active, and makes the end
   * of the batch check for urgent updates.
   */
  private void handleFleetEvent(Event event) {
    fleetChanged = true;
    if (event instanceof Event.EndpointListUpdate update) {
      listWatcher.recordUpdate(update.kind());
      if (update.kind() != Event.ListUpdateKind.FETCH_FAILED) {
        endpoints.applyUpdate(update);
      }
    } else if (event instanceof Event.TimerFired timer) {
      timers.handleTimerFired(timer.token());
    }
    listWatcher.ensureWatch();
    timers.ensurePeriodicTimer();
  }

  @Override
  public List<Command> endBatch(long now) {
    clock.advanceTo(now);
    updateTables();
    if (!initialLimitsPublished) {
      // Appended after any limits that this batch already contains: the last limit takes effect.
      initialLimitsPublished = true;
      admission.publishInitialLimits();
    }
    return budget.endBatch();
  }

  /** Sends urgent updates, and runs a scheduling round if one is due. */
  private void updateTables() {
    boolean inRound = estimates.cadence().isRoundDue();
    if (!inRound && !fleetChanged) {
      return;
    }
    fleetChanged = false;
    if (inRound) {
      startRound();
    }
    boolean postponed = urgentUpdates.selectDueUpdates();
    if (postponed) {
      timers.ensureRetryTimer();
    }
    if (settings.fleet().sharded() || urgentUpdates.isEmpty() && !inRound) {
      return;
    }
    estimates.traffic().updateRates();
    estimates.capacity().updateCapacities();
    admission.updateLimits(inRound);
    if (inRound) {
      introducer.introduceEndpoints();
      proxies.all().forEach(proposals::scheduleReplacement);
    }
    List<ProxyState> plannedProxies = setTargets(inRound);
    urgentUpdates.sendSelected(updater);
    if (inRound) {
      scheduler.runRound(
          plannedProxies.stream().filter(proxy -> !urgentUpdates.contains(proxy)).toList());
    }
  }

  /**
   * Starts a round by updating the estimates that are derived from reports. The order matters:
   * later estimates use earlier ones.
   */
  private void startRound() {
    estimates.traffic().startRound();
    // The endpoint may return under its id as one that nothing is known about.
    endpoints.startRound(proxies::isInTable, endpoint -> exclusions.setExcluded(endpoint, false));
    estimates.capacity().startRound();
    estimates.cadence().startRound();
  }

  /**
   * Sets the target weights of all tables that this instance has assigned or assigns in this batch.
   * Between rounds, a table that is already assigned only has routes to unavailable endpoints
   * replaced, because reports are then too old to adjust other weights.
   *
   * @return the proxies of these tables
   */
  private List<ProxyState> setTargets(boolean inRound) {
    for (EndpointState endpoint : endpoints.all()) {
      endpoint.setPlannedLoad(0);
    }
    List<ProxyState> plannedProxies = new ArrayList<>();
    List<ProxyState> adjustable = new ArrayList<>();
    for (ProxyState proxy : proxies.all()) {
      if (!proxy.isTableAssigned() && !(proxy.isConnected() && urgentUpdates.contains(proxy))) {
        continue;
      }
      plannedProxies.add(proxy);
      if (inRound || !proxy.isTableAssigned()) {
        adjustable.add(proxy);
      }
      routeSelector.selectRoutes(proxy);
      for (Route route : proxy.table().routes()) {
        route.endpoint().addPlannedLoad(proxy.averageRate() * route.target());
      }
    }
    weightOptimizer.optimize(plannedProxies, adjustable);
    adjustable.forEach(proposals::blendTargets);
    slowStart.limitTargets(plannedProxies, urgentUpdates);
    return plannedProxies;
  }
}
