/**
 * Proposes route weights for the whole fleet. {@link stonespring.solver.Flow} finds the flow of
 * requests from zones to endpoints that loses the fewest requests; {@link
 * stonespring.solver.SubsetSelector} turns it into small route tables. The package does no I/O,
 * reads no clock and starts no thread; the same input gives the same plan. Its plans are proposals:
 * the decision engine has the final say on every route.
 *
 * <p>The {@code serve} command uses the package where proposals are enabled; on the operators'
 * platform it is not used. No class of the package is safe for concurrent use.
 */
package stonespring.solver;
