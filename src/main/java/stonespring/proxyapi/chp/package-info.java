/**
 * The API for proxies over the Clustered Hashmap Protocol (CHP). Instances send published keys and
 * snapshots; proxies send their presence, reports and acknowledgements. {@code docs/channel.md}
 * describes the keys.
 */
package stonespring.proxyapi.chp;
