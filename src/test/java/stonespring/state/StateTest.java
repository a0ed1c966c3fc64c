package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RetryPolicy;
import stonespring.model.RouteTableId;
import stonespring.model.ZoneId;

final class StateTest {
  private static final ProxyId P = new ProxyId(0);
  private static final ProxyId Q = new ProxyId(1);
  private static final RouteTableId T = new RouteTableId(7);
  private static final EndpointId A = new EndpointId("a@h:1");
  private static final EndpointId B = new EndpointId("b@h:2");

  private final RouteTables tables = new RouteTables(List.of("view", "extract"));

  private Map<String, String> only(ProxyUpdate message, int lines) {
    assertEquals(lines, message.lines());
    return message.changes();
  }

  @Test
  void ordersBecomeTheLeastKeysAndTheirPrice() {
    tables.joined(P, List.of(A));
    tables.joined(Q, List.of());
    List<ProxyUpdate> first =
        tables.messages(
            List.of(
                new Command.LimitAdmission(Command.ALL_TABLES, 0, RetryPolicy.IF_NOT_EXECUTED, 1),
                new Command.ExcludeEndpoint(A, true),
                new Command.SetRoute(T, A, 0.25),
                new Command.SetRoute(T, B, 0.75),
                new Command.AssignRouteTable(T, P, 0),
                new Command.RequestAck(new AckId(3), false)),
            5);
    assertEquals(2, first.size());
    assertEquals(
        Map.of(
            "out/a@h:1",
            "1",
            "bind/view",
            "7",
            "bind/extract",
            "7",
            "line/7/a@h:1",
            "0.25",
            "line/7/b@h:2",
            "0.75",
            "level/every/view",
            "1 on_proof",
            "level/every/extract",
            "1 on_proof"),
        only(first.get(0), 7));
    assertEquals(
        Map.of("level/every/view", "1 on_proof", "level/every/extract", "1 on_proof"),
        only(first.get(1), 2));
    List<ProxyUpdate> second =
        tables.messages(List.of(new Command.SetRoute(T, A, 0), new Command.SetRoute(T, B, 1)), 6);
    assertEquals(1, second.size(), "who does not use the table is not told");
    Map<String, String> changes = only(second.get(0), 2);
    assertTrue(changes.containsKey("line/7/a@h:1") && changes.get("line/7/a@h:1") == null);
    tables.left(P);
    assertEquals(
        List.of(),
        tables.messages(
            List.of(new Command.SetRoute(T, A, 1), new Command.AssignRouteTable(T, P, 0)), 7));
  }

  @Test
  void aLaterJoinerIsToldLevelsWithItsFirstMessageAndWithdrawalsOfItsTable() {
    tables.messages(
        List.of(
            new Command.LimitAdmission(Command.ALL_TABLES, 1, RetryPolicy.NEVER, 0.5),
            new Command.ExcludeEndpoint(B, true),
            new Command.SetRoute(T, B, 1)),
        1);
    tables.joined(P, null);
    List<ProxyUpdate> messages = tables.messages(List.of(new Command.AssignRouteTable(T, P, 0)), 2);
    assertEquals(
        Map.of(
            "bind/view",
            "7",
            "bind/extract",
            "7",
            "line/7/b@h:2",
            "1",
            "out/b@h:2",
            "1",
            "level/every/view",
            "0.5 never"),
        messages.get(0).changes());
  }

  @Test
  void weightsAreWrittenWithoutExponents() {
    assertEquals("0.001", RouteTables.weight(0.001));
    assertEquals("0.00001", RouteTables.weight(1e-5));
    assertEquals("1000000", RouteTables.weight(1e6));
  }

  private static ProxyUpdate message(ProxyId to, int lines) {
    Map<String, String> changes = new LinkedHashMap<>();
    for (int i = 0; i < lines; i++) {
      changes.put("line/7/t" + i, "1");
    }
    return new ProxyUpdate(to, changes, lines, null, 0);
  }

  @Test
  void messagesLeaveAtThePaceOfTheirLinesInOrder() {
    RateLimitedChannel channel = new RateLimitedChannel(1000, 10, 100, 10 * DeciMillis.SECOND);
    channel.offer(List.of(message(P, 10), message(Q, 30)), 0);
    assertEquals(60, channel.backlog());
    assertEquals(List.of(), channel.due(199));
    assertEquals(P, channel.due(200).get(0).proxy());
    assertEquals(600, channel.nextAt());
    assertEquals(Q, channel.due(600).get(0).proxy());
    assertTrue(channel.isEmpty());
    channel.offer(List.of(message(P, 10)), 10_000);
    assertEquals(10_200, channel.nextAt(), "an idle channel saves nothing up");
  }

  @Test
  void overTheBoundMessagesToOneProxyBecomeOneAndNothingIsLost() {
    RateLimitedChannel channel = new RateLimitedChannel(1000, 10, 50, 10 * DeciMillis.SECOND);
    for (int i = 0; i < 1000; i++) {
      channel.offer(
          List.of(new ProxyUpdate(P, Map.of("line/7/t" + i % 5, String.valueOf(i)), 1, null, 0)),
          0);
    }
    assertTrue(channel.backlog() <= 60, "backlog " + channel.backlog());
    assertTrue(channel.merged() > 900);
    Map<String, String> last = new LinkedHashMap<>();
    channel.due(1_000_000).forEach(m -> last.putAll(m.changes()));
    for (int k = 0; k < 5; k++) {
      assertEquals(String.valueOf(995 + k), last.get("line/7/t" + k), "the later value stands");
    }
    channel.offer(List.of(message(P, 3), message(Q, 3)), 2_000_000);
    channel.left(P);
    assertEquals(13, channel.backlog());
  }

  @Test
  void namesAreBoundedAndNumbersOfTheGoneAreGivenAnew() {
    ProxySessions presence = new ProxySessions(2);
    ProxyHello hello = new ProxyHello("l", 1, new ZoneId(0), 1, true, null);
    Object line = new Object();
    assertInstanceOf(ProxySessions.Verdict.Joined.class, presence.hello("a", hello, line, 0, 10));
    assertInstanceOf(
        ProxySessions.Verdict.Joined.class, presence.hello("b", hello, new Object(), 0, 10));
    assertInstanceOf(
        ProxySessions.Verdict.Refused.class, presence.hello("c", hello, new Object(), 0, 10));
    long before = presence.stream(new ProxyId(0));
    assertEquals(List.of(new ProxyId(0)), presence.closed(line));
    ProxySessions.Verdict.Joined joined =
        (ProxySessions.Verdict.Joined) presence.hello("c", hello, new Object(), 1, 10);
    assertEquals(new ProxyId(0), joined.proxy());
    assertTrue(presence.stream(joined.proxy()) > before, "a number given anew is another stream");
    assertNull(presence.speaking("a", line));
    assertEquals(2, presence.expire(10).size());
    assertEquals(0, presence.here());
  }

  /** Random words of many proxies: no name is ever here twice, and counts stay true. */
  @Test
  void presenceKeepsCountInASeededRun() {
    SplittableRandom random = new SplittableRandom(4);
    ProxySessions presence = new ProxySessions(20);
    List<Object> lines = new ArrayList<>(List.of(new Object(), new Object(), new Object()));
    for (int i = 0; i < 20_000; i++) {
      Object line = lines.get(random.nextInt(3));
      switch (random.nextInt(6)) {
        case 0 -> presence.closed(line);
        case 1 -> presence.expire(i);
        default ->
            presence.hello(
                "p" + random.nextInt(30),
                new ProxyHello(
                    "l" + random.nextInt(2), random.nextInt(3), new ZoneId(0), 1, false, null),
                line,
                i,
                i + random.nextInt(200));
      }
      int here = 0;
      for (int n = 0; n < 20; n++) {
        try {
          here += presence.isHere(new ProxyId(n)) ? 1 : 0;
        } catch (RuntimeException e) {
          throw new AssertionError("number " + n, e);
        }
      }
      assertEquals(here, presence.here());
    }
  }

  @Test
  void keysAreBoundedAndAMessageWithoutRoomDoesNotCommit() {
    ProxySessions presence = new ProxySessions(5);
    KeyStore keys = new KeyStore(10, 3);
    PublishedState published = new PublishedState(keys, "e", presence);
    presence.hello("p", new ProxyHello("l", 1, new ZoneId(0), 1, true, null), new Object(), 0, 10);
    assertEquals(List.of(), published.publish(message(P, 5)));
    assertTrue(keys.snapshot("/proxy/p/").stream().noneMatch(k -> k.key().endsWith("/commit")));
    assertNotNull(keys.delete("/x"));
    assertEquals(14, keys.sequence());
    assertEquals(15, published.ended(P).get(0).sequence());
  }

  @Test
  void sumsAreOneFigureForEachPairHoweverOftenTheyAreTold() {
    ReportAggregator reports = new ReportAggregator(2);
    LoadReport load = new LoadReport(0.5, 1, 1, 1, 1);
    for (int i = 0; i < 100; i++) {
      reports.add(
          P,
          new ZoneId(1),
          100,
          List.of(
              new ReportAggregator.Met(A, 4, 1, 200, load),
              new ReportAggregator.Met(B, 1, 1, 0, LoadReport.NONE),
              new ReportAggregator.Met(new EndpointId("c@h:3"), 1, 0, 1, LoadReport.NONE)),
          List.of(new ReportAggregator.Came(new RequestClassId(0), 5, 1)));
    }
    assertEquals(100, reports.leftOut());
    List<Event> events = reports.drain();
    assertEquals(
        new Event.EndpointOutcomes(A, new ZoneId(1), 400, 100, 10_000, 200, load), events.get(0));
    assertEquals(
        new Event.ProxyRequestRate(P, new RequestClassId(0), 500, 100, 10_000), events.get(2));
    assertEquals(3, events.size());
    reports.add(
        P,
        new ZoneId(0),
        1,
        List.of(),
        List.of(new ReportAggregator.Came(new RequestClassId(0), 5, 1)));
    reports.left(P);
    assertEquals(List.of(), reports.drain());
  }
}
