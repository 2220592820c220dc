import type { Exchange } from "./exchange.ts";

/** One attempt of a caller's call that is in progress. */
export interface CallerAttempt {
  /** Undefined until `forwardCall` has returned. */
  exchange: Exchange | undefined;
  /** Whether the last report of free slots already counts the slot of this attempt as free. */
  loadReported: boolean;
}
