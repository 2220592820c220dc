import type { Exchange } from "./exchange.ts";

/** One try of a caller's call, under way. */
export interface CallerTry {
  /** Undefined until the hand-over has returned. */
  exchange: Exchange | undefined;
  /** Whether the last report of free slots already counts this try as ended. */
  loadReported: boolean;
}
