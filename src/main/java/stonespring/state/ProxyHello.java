package stonespring.state;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.ZoneId;

/**
 * A proxy's word that it is here.
 *
 * @param life drawn by the proxy at its start, so that another that claims its name is told apart
 * @param stream counts the proxy's dials: the same life on a later stream replaces the earlier one
 * @param opsPerSecond what it usually gets; rough
 * @param fresh it holds only the table that it started with
 * @param holds the tasks that its tables name; null where it does not say
 */
public record ProxyHello(
    String life,
    long stream,
    ZoneId zone,
    double opsPerSecond,
    boolean fresh,
    List<EndpointId> holds) {}
