/**
 * Proposes weights for the whole fleet: finds the flow of requests from zones to endpoints that
 * loses least ({@link stonespring.solver.Flow}) and turns it into small route tables ({@link
 * stonespring.solver.SubsetSelector}). The package does no I/O, reads no clock and starts no
 * thread; the same input gives the same plan. What it finds is a proposal: the decision engine has
 * the last word on every route.
 *
 * <p>The {@code serve} command uses the package where proposals are enabled; on the operators'
 * platform it is not used. Nothing here is safe for use by several threads at a time.
 */
package stonespring.solver;
