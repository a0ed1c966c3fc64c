package stonespring.daemon;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.Settings;
import stonespring.proxyapi.ProxyConnection;
import stonespring.state.HelloResult;
import stonespring.state.KeyStore;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;
import stonespring.state.ProxySessions;
import stonespring.state.ProxyUpdate;
import stonespring.state.PublishedKeyCodec;
import stonespring.state.PublishedState;
import stonespring.state.RateLimitedChannel;
import stonespring.state.ReportAggregator;
import stonespring.state.RouteTables;

/**
 * One instance without its thread, clock and sockets: it tells the decision module what happens and
 * carries out what it orders. Time is passed in, tenths of a millisecond, so that a test drives it
 * in virtual time and the loop by the real clock, through the same code. What proxies say is
 * gathered and told once a period, as the module expects it.
 */
public final class EngineHost {
  private static final Logger LOG = LoggerFactory.getLogger(EngineHost.class);
  private static final long STATUS_EVERY =
      DeciMillis.SECOND; // 0.1 ms; a person and a probe look no oftener
  private static final long ANSWER_MOST =
      600 * DeciMillis.SECOND; // 0.1 ms; the histogram's end, longer counts as that
  private static final int CAUSES_MOST = 8; // causes told in one log line

  private final Settings settings;
  private final HostEnvironment outside;
  private final EngineRunner decisions;
  private final ProxySessions<ProxyConnection> presence;
  private final RouteTables tables;
  private final ReportAggregator reports;
  private final RateLimitedChannel channel;
  private final KeyStore keys;
  private final PublishedKeyCodec keyCodec;
  private final PublishedState published;
  private final Set<EndpointId> listed = new HashSet<>();
  private final TreeSet<String> ready = new TreeSet<>();
  private final Histogram answers = new Histogram(ANSWER_MOST, 2);
  private final List<String> causes = new ArrayList<>();
  private int moreCauses;
  private long reportsAt;
  private long statusAt;
  private long unknownReports;

  public EngineHost(
      Settings settings,
      List<String> opTypeNames,
      HostLimits limits,
      String epoch,
      long firstSequence,
      DecisionEngine module,
      HostEnvironment outside,
      long now) {
    this.settings = settings;
    this.outside = outside;
    this.decisions = new EngineRunner(module, outside);
    this.presence = new ProxySessions<>(limits.proxies());
    this.tables = new RouteTables(opTypeNames.size());
    this.reports = new ReportAggregator(limits.reportPairs());
    this.channel = new RateLimitedChannel(settings.channel());
    this.keys = new KeyStore(firstSequence, limits.keys());
    this.keyCodec = new PublishedKeyCodec(opTypeNames);
    this.published = new PublishedState(keys, keyCodec, epoch, presence);
    this.reportsAt = now + settings.reportInterval();
    this.statusAt = now;
  }

  private void tell(long now, Event event, String cause) {
    because(cause);
    decisions.tell(now, event);
  }

  private void because(String cause) {
    if (causes.size() < CAUSES_MOST) {
      causes.add(cause);
    } else {
      moreCauses++;
    }
  }

  /** A proxy says that it is here, for {@code holds} from now. */
  public void hello(String proxy, ProxyHello hello, long holds, ProxyConnection from, long now) {
    HelloResult<ProxyConnection> result = presence.hello(proxy, hello, from, now, now + holds);
    if (result instanceof HelloResult.Refused<ProxyConnection> refused) {
      from.close(refused.reason());
    } else if (result instanceof HelloResult.Connected<ProxyConnection> joined) {
      ProxyId id = joined.proxy();
      if (joined.replaced().isPresent()) {
        gone(id, "a newer stream of it came", now);
        if (joined.replaced().get() != from) {
          joined.replaced().get().close("proxy " + proxy + " came back on a newer stream");
        }
      }
      tables.proxyConnected(id, hello.tableEndpoints());
      tell(
          now,
          new Event.ProxyConnected(
              id, hello.zone(), hello.requestsPerSecond(), hello.withoutTables()),
          "join " + proxy);
      outside.publish(published.proxyConnected(id));
      LOG.info(
          "proxy {} joined as {}, stream {}, {}",
          proxy,
          id.number(),
          published.origin(id),
          hello.withoutTables() ? "with its standing table" : "with tables of its own");
    }
  }

  private void gone(ProxyId id, String why, long now) {
    tables.proxyDisconnected(id);
    channel.proxyDisconnected(id);
    reports.proxyDisconnected(id);
    outside.publish(published.proxyDisconnected(id));
    tell(now, new Event.ProxyDisconnected(id), "left " + presence.name(id));
    LOG.info("proxy {} left: {}", presence.name(id), why);
  }

  /** A connection ended: whatever spoke on it is gone at once. */
  public void closed(ProxyConnection from, long now) {
    for (ProxyId id : presence.connectionClosed(from)) {
      gone(id, "its connection ended", now);
    }
  }

  /** What a proxy met; from one that is not here it ends the connection. */
  public void reported(String proxy, ProxyReport report, ProxyConnection from) {
    ProxyId id = presence.find(proxy, from).orElse(null);
    if (id == null) {
      from.close("report: proxy " + proxy + " never joined on this connection");
      return;
    }
    // What its own tables name may be gone from the list since before this start: the decisions
    // must hear of it.
    List<EndpointId> holds = presence.hello(id).tableEndpoints().orElse(List.of());
    List<ProxyReport.EndpointObservation> known =
        report.endpoints().stream()
            .filter(o -> listed.contains(o.endpoint()) || holds.contains(o.endpoint()))
            .toList();
    unknownReports += report.endpoints().size() - known.size();
    reports.add(
        id,
        presence.hello(id).zone(),
        new ProxyReport(report.interval(), known, report.requests()));
  }

  /**
   * A proxy has applied a message; a mark that was never set, or another stream's, means nothing.
   */
  public void acknowledged(
      String proxy, ProxyAcknowledgement acknowledgement, ProxyConnection from, long now) {
    ProxyId id = presence.find(proxy, from).orElse(null);
    if (id == null) {
      from.close("answer: proxy " + proxy + " never joined on this connection");
    } else if (published.origin(id).equals(acknowledgement.origin())) {
      OptionalLong orderedAt = published.acknowledge(id, acknowledgement.ack());
      if (orderedAt.isEmpty()) {
        from.close(
            "answer: mark " + acknowledgement.ack().number() + " was never set for proxy " + proxy);
        return;
      }
      answers.recordValue(Math.min(ANSWER_MOST, Math.max(0, now - orderedAt.getAsLong())));
      tell(
          now,
          new Event.UpdateAcknowledged(id, acknowledgement.ack(), acknowledgement.duration()),
          "answer " + proxy);
    }
  }

  /** What the list of tasks says. */
  public void listTold(Event.EndpointListUpdate told, long now) {
    for (EndpointRecord listing : told.endpoints()) {
      listed.add(listing.endpoint());
    }
    countReady(told);
    LOG.info("list {}: {} entries", told.kind(), told.endpoints().size());
    tell(now, told, "list " + told.kind() + " of " + told.endpoints().size());
  }

  private void countReady(Event.EndpointListUpdate told) {
    if (told.kind() == Event.ListUpdateKind.SNAPSHOT) {
      ready.clear();
    }
    for (EndpointRecord listing : told.endpoints()) {
      if (listing.state() == EndpointRecord.State.READY) {
        ready.add(listing.endpoint().name());
      } else {
        ready.remove(listing.endpoint().name());
      }
    }
  }

  public List<KeyUpdate> snapshot(String subtree) {
    return keys.snapshot(subtree);
  }

  public long sequence() {
    return keys.sequence();
  }

  /** Does all that is due by now, and says when something is due next. */
  public long run(long now) {
    if (decisions.timersDue(now)) {
      because("timer");
    }
    for (ProxyId id : presence.expire(now)) {
      gone(id, "its presence was not renewed", now);
    }
    if (now >= reportsAt) {
      List<Event> events = reports.drain();
      events.forEach(event -> decisions.tell(now, event));
      if (!events.isEmpty()) {
        because("sums");
      }
      reportsAt =
          Math.max(reportsAt + settings.reportInterval(), now + settings.reportInterval() / 2);
    }
    if (decisions.pending()) {
      carryOut(decisions.finish(now), now);
      causes.clear();
      moreCauses = 0;
    }
    for (ProxyUpdate message : channel.takeDue(now)) {
      outside.publish(published.publish(message));
    }
    if (now >= statusAt) {
      statusAt = now + STATUS_EVERY;
      outside.publish(published.publishStatus(status()));
    }
    long next = Math.min(Math.min(reportsAt, statusAt), channel.nextDepartureAt());
    return Math.min(next, decisions.nextTimer());
  }

  private void carryOut(List<Command> orders, long now) {
    List<ProxyUpdate> messages = tables.apply(orders, now);
    channel.offer(messages, now);
    if (!messages.isEmpty() && LOG.isDebugEnabled()) {
      String cause =
          String.join(", ", causes) + (moreCauses > 0 ? " and " + moreCauses + " more" : "");
      for (ProxyUpdate message : messages) {
        LOG.debug(
            "order for {}: {} because of {}",
            presence.name(message.proxy()),
            keyCodec.describe(message),
            cause);
      }
    }
    if (channel.backlogEntries() > settings.channel().maxBacklogEntries()) {
      LOG.error(
          "channel: {} lines wait, the limit is {}",
          channel.backlogEntries(),
          settings.channel().maxBacklogEntries());
    }
  }

  private String status() {
    return "{\"proxies\":"
        + presence.connectedCount()
        + ",\"tasks_ready\":"
        + ready.size()
        + ",\"backlog_lines\":"
        + channel.backlogEntries()
        + ",\"backlog_high\":"
        + channel.peakBacklogEntries()
        + ",\"backlog_limit\":"
        + settings.channel().maxBacklogEntries()
        + ",\"messages_high\":"
        + channel.peakMessagesPerProxy()
        + ",\"messages_limit\":"
        + settings.channel().maxMessagesPerProxy()
        + ",\"merged\":"
        + channel.mergedUpdates()
        + ",\"reports_left_out\":"
        + (reports.droppedPairs() + unknownReports)
        + ",\"decisions\":"
        + decisions.finishes()
        + ",\"answer_ms_p50\":"
        + answers.getValueAtPercentile(50) / 10.0
        + ",\"answer_ms_p99\":"
        + answers.getValueAtPercentile(99) / 10.0
        + "}";
  }

  public int proxiesHere() {
    return presence.connectedCount();
  }

  public long decisions() {
    return decisions.finishes();
  }
}
