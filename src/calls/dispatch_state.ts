import type { DispatchPhase } from "./dispatch_phase.ts";

/** The state of one attempt on the node beside its backend server. */
export interface DispatchState {
  readonly phase: DispatchPhase;
  readonly idempotent: boolean;
  readonly keyed: boolean;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Whether the ledger has shown that no earlier attempt with the key ran. */
  readonly keySettled: boolean;
  /** Whether the attempt waits for the run of an earlier attempt with the key. */
  readonly joinsRun: boolean;
  /**
   * When the call was sent to the backend server, in milliseconds since the
   * Unix epoch; 0 before that.
   */
  readonly dispatchedAt: number;
  /**
   * When the run is cancelled because its connection was lost, in milliseconds
   * since the Unix epoch; `Infinity` while the connection is open.
   */
  readonly cancelAt: number;
  /**
   * When the next interim response is due, in milliseconds since the Unix
   * epoch; `Infinity` if none is to be sent.
   */
  readonly interimResponseAt: number;
}
