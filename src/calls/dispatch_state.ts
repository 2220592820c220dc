import type { DispatchPhase } from "./dispatch_phase.ts";

/** The state of one try on the node beside its backend server. */
export interface DispatchState {
  readonly phase: DispatchPhase;
  readonly idempotent: boolean;
  readonly keyed: boolean;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Whether the ledger has shown that no earlier attempt with the key ran. */
  readonly keySettled: boolean;
  /** Whether the try waits for the run of an earlier attempt with the key. */
  readonly joinsRun: boolean;
  /** When the call was given to the backend server; 0 before. */
  readonly dispatchedAt: number;
  /**
   * When the run is cancelled, because nobody waits for it; `Infinity` while
   * somebody does. In milliseconds since the Unix epoch.
   */
  readonly cancelAt: number;
  /** When the next sign of life is due; `Infinity` where none is sent. */
  readonly signAt: number;
}
