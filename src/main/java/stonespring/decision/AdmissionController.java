package stonespring.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.Event;
import stonespring.model.RequestClass;
import stonespring.model.RetryPolicy;
import stonespring.model.Settings;

/**
 * Sheds load: admits the fraction of requests that the listed endpoints can serve, by request
 * class. Capacity is read from normal operation and may be read too high, so that it is scaled by a
 * confidence that overload reduces and normal operation restores.
 *
 * <p>Only where proxies limit by a fraction does this shed load. Limits by a rate are never
 * lowered: they stay at {@link #UNLIMITED_RATE}. Proxies without admission limits ignore the
 * number. In both cases a fraction below 1 only stops retries.
 */
final class AdmissionController {
  /** Share of capacity; at more of it queues grow beyond the latency objectives. */
  private static final double TARGET_FILL = 0.9;

  /** Utilization above which the fraction is limited whatever the estimates say. */
  private static final double HIGH_UTILIZATION = 0.8;

  /** Share of attempts above which failures and late answers may be overload. */
  private static final double OVERLOAD_FAILED_OR_LATE_SHARE = 0.2;

  /** Share of capacity, at endpoints that fail or are late, above which it is overload. */
  private static final double OVERLOAD_CAPACITY_SHARE = 0.5;

  /** Share of capacity, at endpoints that fail or are late, below which it is a few endpoints. */
  private static final double LOCAL_CAPACITY_SHARE = 0.25;

  /** Factor of the confidence at the first reduction, when all is admitted. */
  private static final double FIRST_REDUCTION_FACTOR = 0.5;

  /** Factor of the confidence at each further reduction. */
  private static final double REDUCTION_FACTOR = 0.7;

  /** DeciMillis between reductions; the last one shows in reports by then. */
  private static final long REDUCTION_INTERVAL_DECI_MILLIS = 2 * DeciMillis.SECOND;

  private static final double MIN_CONFIDENCE = 0.4;

  /** Least confidence while endpoints report spare capacity: the failures may have other causes. */
  private static final double MIN_CONFIDENCE_IF_IDLE = 0.5;

  /** Least confidence while reports are delayed: the overload that they show may be over. */
  private static final double MIN_CONFIDENCE_IF_REPORTS_DELAYED = 0.7;

  /** Confidence that normal operation restores at once. */
  private static final double RECOVERED_CONFIDENCE = 0.7;

  private static final double MAX_CONFIDENCE = 2;
  private static final double CONFIDENCE_STEP_PER_SECOND = 0.04;

  /** Least admitted admittedFraction; some requests must show whether endpoints work. */
  private static final double MIN_ADMITTED_FRACTION = 0.05;

  /** Relative change of the fraction that is worth a message to every proxy. */
  private static final double MIN_RELATIVE_CHANGE = 0.05;

  /** Least fraction of any class, as a multiple of the worst class's weight in the objective. */
  private static final double CLASS_FLOOR_MULTIPLE = 3;

  /** Keeps the divisor above 0 where all attempts fail. */
  private static final double MIN_SUCCESS_SHARE = 1e-9;

  /** Requests per second at a proxy, above what any receives: it limits nothing. */
  private static final double UNLIMITED_RATE = 1e6;

  private final Settings settings;
  private final EngineClock clock;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final Estimates estimates;
  private final CommandBatch batch;
  private final ChannelBudget budget;
  private double admittedFraction = 1;
  private double confidence = 1;
  private long lastReductionAt = EngineClock.NEVER;
  private double roundAttempts;
  private double roundFailedOrLateAttempts;

  /**
   * What is seen of the load at an update.
   *
   * @param capacityPerOfferedRate what the endpoints can serve over what is offered; below 1 some
   *     requests cannot be served
   * @param utilization mean utilization of the endpoints that report one, by capacity
   * @param failedOrLateCapacityShare share of the capacity at endpoints where more than usual fails
   *     or is late
   * @param failedOrLateAttemptShare share of the attempts since the last round that failed or were
   *     late
   */
  private record Load(
      double capacityPerOfferedRate,
      double utilization,
      double failedOrLateCapacityShare,
      double failedOrLateAttemptShare) {
    boolean isOverloaded() {
      return failedOrLateAttemptShare > OVERLOAD_FAILED_OR_LATE_SHARE
          && failedOrLateCapacityShare > OVERLOAD_CAPACITY_SHARE;
    }

    boolean isNormal() {
      return failedOrLateAttemptShare < EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE
          || failedOrLateCapacityShare < LOCAL_CAPACITY_SHARE;
    }

    boolean needsLimit() {
      return capacityPerOfferedRate < 1
          || utilization > HIGH_UTILIZATION
          || failedOrLateAttemptShare > EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE
              && failedOrLateCapacityShare > OVERLOAD_CAPACITY_SHARE;
    }
  }

  AdmissionController(
      Settings settings,
      EngineClock clock,
      EndpointRegistry endpoints,
      ProxyRegistry proxies,
      Estimates estimates,
      CommandBatch batch,
      ChannelBudget budget) {
    this.settings = settings;
    this.clock = clock;
    this.endpoints = endpoints;
    this.proxies = proxies;
    this.estimates = estimates;
    this.batch = batch;
    this.budget = budget;
  }

  /** Counts attempts that failed or were late until the next round. */
  void recordOutcomes(Event.EndpointOutcomes outcomes) {
    double lateShare = estimates.latency().lateShare(outcomes.successLatency());
    long successes = outcomes.attempts() - outcomes.failures();
    roundAttempts += outcomes.attempts();
    roundFailedOrLateAttempts += outcomes.failures() + successes * lateShare;
  }

  /** The part of the offered traffic that proxies pass on, where they limit it by a fraction. */
  double admittedTrafficShare() {
    return settings.admissionLimitKind() == AdmissionLimitKind.FRACTION ? admittedFraction : 1;
  }

  /** Admits all requests; sent once, with the first batch. */
  void publishInitialLimits() {
    double[] fractions = new double[settings.requestClasses().size()];
    Arrays.fill(fractions, 1);
    publishLimits(1, fractions);
  }

  /**
   * Admits what the listed endpoints can serve. Between rounds the fraction follows the endpoint
   * list alone; the confidence changes in rounds.
   */
  void updateLimits(boolean inRound) {
    if (estimates.traffic().offeredRate() <= 0) {
      return;
    }
    Load load = observeLoad();
    if (inRound) {
      adjustConfidence(load);
      roundAttempts = 0;
      roundFailedOrLateAttempts = 0;
    }
    boolean limited = admittedFraction < 1 || load.needsLimit();
    double admissible = limited ? TARGET_FILL * load.capacityPerOfferedRate() * confidence : 1;
    double newFraction = Math.max(MIN_ADMITTED_FRACTION, Math.min(1, admissible));
    boolean changed =
        newFraction == 1
            ? admittedFraction < 1
            : Math.abs(newFraction - admittedFraction) > MIN_RELATIVE_CHANGE * admittedFraction;
    if (changed && budget.hasRoomForAdmissionLimits()) {
      if (newFraction == 1) {
        log("Endpoints have spare capacity: all requests are admitted again.");
      }
      admittedFraction = newFraction;
      publishLimits(admittedFraction, fractionsByClass());
    }
  }

  /** An endpoint that fails more than the rest counts less: one that fails all serves nothing. */
  private Load observeLoad() {
    TrafficEstimator traffic = estimates.traffic();
    double totalCapacity =
        Math.max(CapacityEstimator.MIN_CAPACITY, estimates.capacity().totalCapacity());
    double meanSuccess =
        endpoints.sumOverReady(
                endpoint -> endpoint.capacity() * endpoint.statistics().successShare())
            / totalCapacity;
    double capacityPerOfferedRate =
        traffic.offeredShare()
            / traffic.offeredRate()
            * endpoints.sumOverReady(endpoint -> servedCapacity(endpoint, meanSuccess));
    double reportingCapacity =
        endpoints.sumOverReady(
            endpoint -> endpoint.statistics().utilization() >= 0 ? endpoint.capacity() : 0);
    double utilization =
        reportingCapacity > 0
            ? endpoints.sumOverReady(AdmissionController::busyCapacity) / reportingCapacity
            : 0;
    double failedOrLateCapacityShare =
        endpoints.sumOverReady(AdmissionController::failedOrLateCapacity) / totalCapacity;
    double failedOrLateAttemptShare =
        roundFailedOrLateAttempts / Math.max(EndpointStatistics.PRIOR_ATTEMPTS, roundAttempts);
    return new Load(
        capacityPerOfferedRate, utilization, failedOrLateCapacityShare, failedOrLateAttemptShare);
  }

  private static double servedCapacity(EndpointState endpoint, double meanSuccess) {
    double relativeSuccess =
        endpoint.statistics().successShare() / (meanSuccess + MIN_SUCCESS_SHARE);
    return endpoint.capacity() * Math.min(1, relativeSuccess);
  }

  private static double busyCapacity(EndpointState endpoint) {
    double utilization = endpoint.statistics().utilization();
    return utilization >= 0 ? endpoint.capacity() * utilization : 0;
  }

  private static double failedOrLateCapacity(EndpointState endpoint) {
    double failedOrLate = endpoint.statistics().failedOrLateShare();
    return failedOrLate > EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE ? endpoint.capacity() : 0;
  }

  /**
   * Reduces the confidence under overload, at most once an interval; restores it in normal
   * operation, beyond 1 while requests are limited; lowers it to 1 slowly while endpoints are too
   * full.
   */
  private void adjustConfidence(Load load) {
    long delay = estimates.cadence().delay();
    double step = CONFIDENCE_STEP_PER_SECOND * settings.reportInterval() / DeciMillis.SECOND;
    if (load.isOverloaded()
        && clock.since(lastReductionAt) > REDUCTION_INTERVAL_DECI_MILLIS + delay) {
      reduceConfidence(load, delay > settings.reportInterval());
    } else if (load.isNormal() && load.utilization() < TARGET_FILL) {
      restoreConfidence(step);
    } else if (load.utilization() > TARGET_FILL) {
      lowerConfidenceToOne(step);
    }
  }

  /** Restores at least what normal operation shows at once; beyond 1 only while limited. */
  private void restoreConfidence(double step) {
    double limit = admittedFraction < 1 ? MAX_CONFIDENCE : 1;
    double raised = Math.max(RECOVERED_CONFIDENCE, confidence * (1 + step));
    confidence = Math.min(limit, raised);
  }

  /** Takes back what was restored beyond 1; a confidence of 1 or less stays. */
  private void lowerConfidenceToOne(double step) {
    double lowest = Math.min(1, confidence);
    confidence = Math.max(lowest, confidence * (1 - step));
  }

  private void reduceConfidence(Load load, boolean reportsDelayed) {
    if (confidence == 1) {
      log("Overload: endpoints fail requests, admission limits are lowered.");
    }
    double floorIfIdle =
        reportsDelayed ? MIN_CONFIDENCE_IF_REPORTS_DELAYED : MIN_CONFIDENCE_IF_IDLE;
    double floor =
        load.utilization() > HIGH_UTILIZATION ? MIN_CONFIDENCE : Math.min(confidence, floorIfIdle);
    double factor = admittedFraction == 1 ? FIRST_REDUCTION_FACTOR : REDUCTION_FACTOR;
    confidence = Math.max(floor, confidence * factor);
    lastReductionAt = clock.now();
  }

  /**
   * Divides the admitted requests among the classes, those of most value for their work first.
   * Nothing reports the work of a class; its latency objective stands for it. No class falls below
   * a floor, which is higher the more the worst served class counts in the objective.
   */
  private double[] fractionsByClass() {
    List<RequestClass> classes = settings.requestClasses();
    double[] rates = ratesByClass();
    double floor =
        admittedFraction
            * Math.min(1, CLASS_FLOOR_MULTIPLE * settings.routing().worstClassWeight());
    double remaining = (admittedFraction - floor) * Arrays.stream(rates).sum();
    double[] fractions = new double[rates.length];
    Arrays.fill(fractions, admittedFraction);
    List<Integer> indexesByValue =
        new ArrayList<>(IntStream.range(0, rates.length).boxed().toList());
    indexesByValue.sort(Comparator.comparingDouble(index -> -valuePerWork(classes.get(index))));
    for (int index : indexesByValue) {
      double added = Math.max(0, Math.min(remaining, (1 - floor) * rates[index]));
      if (admittedFraction < 1 && rates[index] > 0) {
        fractions[index] = floor + added / rates[index];
      }
      remaining -= added;
    }
    return fractions;
  }

  private static double valuePerWork(RequestClass requestClass) {
    return requestClass.priorityWeight() / requestClass.latencyObjective();
  }

  /** Requests per second of the connected proxies, by class. */
  private double[] ratesByClass() {
    double[] rates = new double[settings.requestClasses().size()];
    for (ProxyState proxy : proxies.all()) {
      if (proxy.isConnected()) {
        for (int index = 0; index < rates.length; index++) {
          rates[index] += proxy.requestRate().averageRate(index);
        }
      }
    }
    return rates;
  }

  /**
   * Sends the limits, one for all classes of equal fraction. Proxies retry only while all requests
   * are admitted, and then only what was proven not to be executed.
   */
  private void publishLimits(double overallFraction, double[] fractions) {
    RetryPolicy retryPolicy = overallFraction < 1 ? RetryPolicy.NEVER : RetryPolicy.IF_NOT_EXECUTED;
    SortedMap<Double, Integer> maskByLimit = new TreeMap<>();
    for (int index = 0; index < fractions.length; index++) {
      boolean byRate = settings.admissionLimitKind() == AdmissionLimitKind.RATE;
      double limit = byRate ? UNLIMITED_RATE : fractions[index];
      maskByLimit.merge(limit, 1 << index, Integer::sum);
    }
    List<Command.LimitAdmission> limits = new ArrayList<>();
    maskByLimit.forEach(
        (limit, mask) ->
            limits.add(new Command.LimitAdmission(Command.ALL_TABLES, mask, retryPolicy, limit)));
    batch.addAdmissionLimits(limits, proxies.all());
  }

  private void log(String text) {
    batch.addLocal(new Command.Log(text));
  }
}
