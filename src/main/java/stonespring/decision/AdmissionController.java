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
 * Computes the admission limits of the request classes: the fraction of the offered requests that
 * the listed endpoints can serve. Capacity is estimated in normal operation, and the estimate may
 * be too high. It is therefore multiplied by a confidence, which overload reduces and normal
 * operation restores.
 *
 * <p>Load is shed only where proxies enforce a fraction. Where they enforce a rate, the published
 * limit is always {@link #UNLIMITED_RATE}; proxies without admission limits ignore it. In these two
 * cases, a computed fraction below 1 only disables retries.
 */
final class AdmissionController {
  /**
   * Ratio of load to capacity that admitted requests may reach; above it, queueing delays exceed
   * the latency objectives.
   */
  private static final double TARGET_LOAD_RATIO = 0.9;

  /**
   * Mean utilization above which requests are limited even if the capacity estimates show spare
   * capacity.
   */
  private static final double HIGH_UTILIZATION = 0.8;

  /**
   * Share of failed or late attempts above which the fleet may be overloaded; well above the share
   * in normal operation.
   */
  private static final double OVERLOAD_FAILED_OR_LATE_SHARE = 0.2;

  /**
   * Share of the fleet's capacity that endpoints with many failed or late attempts must have for
   * the whole fleet to count as overloaded.
   */
  private static final double OVERLOAD_CAPACITY_SHARE = 0.5;

  /**
   * Share of the fleet's capacity that endpoints with many failed or late attempts may have for
   * operation to count as normal: below it, only a few endpoints have a problem.
   */
  private static final double LOCAL_CAPACITY_SHARE = 0.25;

  /**
   * Factor by which the confidence is multiplied at the first reduction, while all requests are
   * admitted.
   */
  private static final double FIRST_REDUCTION_FACTOR = 0.5;

  /**
   * Factor by which the confidence is multiplied at each further reduction; a few reductions end an
   * overload.
   */
  private static final double REDUCTION_FACTOR = 0.7;

  /** Minimum time between reductions, so that reports show the effect of one before the next. */
  private static final long REDUCTION_INTERVAL_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /** Minimum confidence in the capacity estimate; overload does not reduce it further. */
  private static final double MIN_CONFIDENCE = 0.4;

  /**
   * Minimum confidence while endpoints report spare capacity, since failures may then have other
   * causes than overload.
   */
  private static final double MIN_CONFIDENCE_IF_IDLE = 0.5;

  /**
   * Minimum confidence while endpoints report spare capacity and reports are delayed, since the
   * overload that the reports show may have ended.
   */
  private static final double MIN_CONFIDENCE_IF_REPORTS_DELAYED = 0.7;

  /** Confidence to which a lower value is raised in one step as soon as operation is normal. */
  private static final double RECOVERED_CONFIDENCE = 0.7;

  /** Maximum confidence; the capacity estimate may be too low by this factor. */
  private static final double MAX_CONFIDENCE = 2;

  /**
   * Relative change of the confidence per second while there is no overload; reports show the
   * effect of a step before the third step follows.
   */
  private static final double CONFIDENCE_STEP_PER_SECOND = 0.04;

  /** Minimum admitted fraction; some requests must be admitted to show whether endpoints work. */
  private static final double MIN_ADMITTED_FRACTION = 0.05;

  /**
   * Relative change of the admitted fraction above which a message to every proxy is worth its
   * cost.
   */
  private static final double MIN_RELATIVE_CHANGE = 0.05;

  /**
   * Minimum admitted fraction of a class relative to the overall fraction, as a multiple of the
   * worst class weight in {@link Settings.RoutingRules}. With a weight of a third or more, all
   * classes are limited alike.
   */
  private static final double CLASS_FLOOR_MULTIPLE = 3;

  /** Added to the mean success share, so that the divisor is above 0 if all attempts fail. */
  private static final double MIN_SUCCESS_SHARE = 1e-9;

  /**
   * Limit, in requests per second, that no proxy reaches; stands for no limit where proxies enforce
   * a rate.
   */
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
   * Load of the fleet as observed at one update.
   *
   * @param capacityPerOfferedRate request rate that the ready endpoints can serve, divided by the
   *     offered request rate; below 1, some requests cannot be served
   * @param utilization mean utilization of the endpoints that report one, weighted by capacity; 0
   *     if none does
   * @param failedOrLateCapacityShare share of the capacity at endpoints with more failed or late
   *     attempts than normal
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

  /**
   * Adds the attempts of a report, and those that failed or were late, to the counts of the next
   * round.
   */
  void recordOutcomes(Event.EndpointOutcomes outcomes) {
    double lateShare = estimates.latency().lateShare(outcomes.successLatency());
    long successes = outcomes.attempts() - outcomes.failures();
    roundAttempts += outcomes.attempts();
    roundFailedOrLateAttempts += outcomes.failures() + successes * lateShare;
  }

  /**
   * Returns the share of the offered requests that proxies admit; always 1 unless they enforce a
   * fraction.
   */
  double admittedTrafficShare() {
    return settings.admissionLimitKind() == AdmissionLimitKind.FRACTION ? admittedFraction : 1;
  }

  /** Publishes limits that admit all requests; called once, with the first batch. */
  void publishInitialLimits() {
    double[] fractions = new double[settings.requestClasses().size()];
    Arrays.fill(fractions, 1);
    publishLimits(1, fractions);
  }

  /**
   * Updates the limits to what the listed endpoints can serve. Between rounds the confidence does
   * not change, but the admitted fraction follows changes of the endpoint list. Without a usable
   * list the capacity is unknown, and the limits stay as they are.
   */
  void updateLimits(boolean inRound) {
    if (estimates.traffic().offeredRate() <= 0 || !endpoints.isListUsable()) {
      return;
    }
    Load load = observeLoad();
    if (inRound) {
      adjustConfidence(load);
      roundAttempts = 0;
      roundFailedOrLateAttempts = 0;
    }
    boolean limited = admittedFraction < 1 || load.needsLimit();
    double admissible =
        limited ? TARGET_LOAD_RATIO * load.capacityPerOfferedRate() * confidence : 1;
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

  /**
   * Computes the current load of the fleet. An endpoint whose attempts succeed less often than the
   * mean counts with less capacity; an endpoint whose attempts all fail counts with none.
   */
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
   * Adjusts the confidence in a round. Overload reduces it, at most once per interval. Normal
   * operation restores it, beyond 1 only while requests are limited. Utilization above {@link
   * #TARGET_LOAD_RATIO} slowly lowers a confidence above 1 to 1.
   */
  private void adjustConfidence(Load load) {
    long delay = estimates.cadence().reportDelay();
    double step = CONFIDENCE_STEP_PER_SECOND * settings.reportInterval() / DeciMillis.SECOND;
    if (load.isOverloaded()
        && clock.since(lastReductionAt) > REDUCTION_INTERVAL_DECI_MILLIS + delay) {
      reduceConfidence(load, delay > settings.reportInterval());
    } else if (load.isNormal() && load.utilization() < TARGET_LOAD_RATIO) {
      restoreConfidence(step);
    } else if (load.utilization() > TARGET_LOAD_RATIO) {
      lowerConfidenceToOne(step);
    }
  }

  /**
   * Raises the confidence by a step, and at least to {@link #RECOVERED_CONFIDENCE}. It exceeds 1
   * only while requests are limited.
   */
  private void restoreConfidence(double step) {
    double limit = admittedFraction < 1 ? MAX_CONFIDENCE : 1;
    double raised = Math.max(RECOVERED_CONFIDENCE, confidence * (1 + step));
    confidence = Math.min(limit, raised);
  }

  /** Lowers a confidence above 1 by a step, to no less than 1; a confidence of 1 or less stays. */
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
   * Divides the admitted requests among the classes, in descending order of priority weight per
   * unit of work. The work of a class is not reported; its latency objective is used instead. No
   * class falls below a floor, which rises with the weight of the worst served class in the
   * objective.
   *
   * @return admitted fractions by position of the class
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

  /** Returns the requests per second of all connected proxies, by position of the class. */
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
   * Adds the limits to the batch, one command for all classes of the same limit. Proxies retry only
   * while all requests are admitted, and then only attempts that are proven not to have been
   * executed.
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
