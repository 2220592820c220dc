import type { CallPhase } from "./call_phase.ts";
import type { NodeRefusal } from "./node_refusal.ts";

/** The state of one call on the node that received it from its caller. */
export interface CallState {
  readonly phase: CallPhase;
  readonly idempotent: boolean;
  /**
   * Whether the caller may have made earlier attempts with the call's key,
   * which the outcome of a refusal has to cover.
   */
  readonly repeatsPossible: boolean;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** The number of the current attempt; 0 before the first. */
  readonly attempt: number;
  /** The backend server of the current attempt. */
  readonly backendServer: string | undefined;
  /** Names of the backend servers that are excluded from further attempts. */
  readonly excluded: readonly string[];
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** The refusal of the last attempt. */
  readonly lastRefusal: NodeRefusal | undefined;
  /**
   * Whether the silence timeout has passed once; a second expiry without
   * activity counts as a lost connection.
   */
  readonly silenceSuspected: boolean;
  /** The number of outcome queries sent so far. */
  readonly outcomeQueryCount: number;
  /** When the call's timer fires next, in milliseconds since the Unix epoch. */
  readonly wakeAt: number;
}
