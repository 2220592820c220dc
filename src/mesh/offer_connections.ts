import type { OfferConnection } from "./offer_connection.ts";

/** The offer connections of a node to others, by host. */
export interface OfferConnections {
  readonly open: Map<string, OfferConnection>;
  /** When a connection may be attempted again, by host, in milliseconds since the Unix epoch. */
  readonly nextAttemptAt: Map<string, number>;
}
