package stonespring.proxyapi.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.proxyapi.platform.PlatformApiFixture.assign;
import static stonespring.proxyapi.platform.PlatformApiFixture.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RetryPolicy;
import stonespring.model.RouteTableId;
import stonespring.proxyapi.NameTable;
import stonespring.state.RouteTables;

/** Tests the encoding of updates as lines of the platform's protocol. */
final class ProxyRouteStateTest {
  @Test
  void writesNamesThatContainSlash() {
    List<String> requestClasses = List.of("look/up", "buy");
    RouteTables tables = new RouteTables(requestClasses.size());
    tables.addProxy(new ProxyId(3), Optional.empty());
    ProxyExclusions exclusions = new ProxyExclusions(new HashSet<>(), false);
    ProxyRouteState state = new ProxyRouteState(requestClasses.size(), tables, exclusions);
    PlatformMessageCodec codec =
        new PlatformMessageCodec(new NameTable(List.of(), requestClasses), 10);
    Command.LimitAdmission limit =
        new Command.LimitAdmission(new RouteTableId(3), 1, RetryPolicy.NEVER, 0.5);
    List<String> lines = new ArrayList<>();
    for (List<Command> commands :
        List.of(
            List.<Command>of(route(3, "s/1", 1), assign(3), limit),
            List.<Command>of(new Command.ExcludeEndpoint(new EndpointId("s/1"), true)))) {
      lines.addAll(codec.write(state.apply(tables.apply(commands, 5).get(0))));
    }
    assertEquals(
        List.of(
            "CONFIG replace=1 rows=s/1:1 part=1",
            "CONFIG for=look/up gate=0.5 again=0",
            "CONFIG drop=s/1"),
        lines);
  }
}
