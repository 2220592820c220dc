import type { Suspect } from "./suspect.ts";

/**
 * What a node knows of requests under which backend servers crashed, and of
 * those that run well, by fingerprint. Mutable and bounded.
 */
export interface QuarantineState {
  /** In the order of their last crash. */
  readonly suspects: Map<string, Suspect>;
  /**
   * When the backend server of this VM last answered a request, in milliseconds
   * since the Unix epoch, in that order.
   */
  readonly answeredAt: Map<string, number>;
}
