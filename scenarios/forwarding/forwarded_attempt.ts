import type { CallEvent } from "../../src/calls/call_event.ts";
import type { DispatchState } from "../../src/calls/dispatch_state.ts";
import type { Settlement } from "../../src/calls/settlement.ts";

/** One try of the call: on its way to, or at, the node beside a backend server. */
export interface ForwardedAttempt {
  readonly backendServer: string;
  readonly attempt: number;
  /** Undefined while the request waits in a socket buffer or a frozen process. */
  state: DispatchState | undefined;
  /** What the node has recorded of the try; a fence is a record of "not run". */
  settlement: Settlement | undefined;
  /** How often the backend server began to run it. */
  runs: number;
  /** What the node sent back and has not arrived. */
  readonly replies: CallEvent[];
  connected: boolean;
}
