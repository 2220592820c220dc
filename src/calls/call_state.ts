import type { CallPhase } from "./call_phase.ts";
import type { NodeRefusal } from "./node_refusal.ts";

/** The state of one call on the node that took it from its caller. */
export interface CallState {
  readonly phase: CallPhase;
  readonly idempotent: boolean;
  /** Whether the outcome of a refusal speaks of a key with possible earlier attempts. */
  readonly repeatsPossible: boolean;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** The number of the current try; 0 before the first. */
  readonly attempt: number;
  /** The backend server of the current try. */
  readonly backendServer: string | undefined;
  /** Backend servers that this call is not tried at again. */
  readonly excluded: readonly string[];
  /** Whether an earlier try may have run. */
  readonly mayHaveRun: boolean;
  /** Why the last try was refused. */
  readonly lastRefusal: NodeRefusal | undefined;
  /** Whether the bound on silence has passed once, without a look at what has come meanwhile. */
  readonly silenceSuspected: boolean;
  /** How many settlement questions found the try running. */
  readonly questionsAsked: number;
  /** When the next wake-up is due, in milliseconds since the Unix epoch. */
  readonly wakeAt: number;
}
