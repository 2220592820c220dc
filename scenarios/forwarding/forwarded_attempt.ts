import type { CallEvent } from "../../src/calls/call_event.ts";
import type { DispatchState } from "../../src/calls/dispatch_state.ts";
import type { Settlement } from "../../src/calls/settlement.ts";

/** An attempt of the call, in transit to the node beside a backend server or at that node. */
export interface ForwardedAttempt {
  readonly backendServer: string;
  /** Number of the attempt. */
  readonly attempt: number;
  /** State at the node; undefined while the request is in a socket buffer or a frozen process. */
  state: DispatchState | undefined;
  /** The outcome that the node has recorded; a fence is recorded as "not run". */
  settlement: Settlement | undefined;
  /** How often the backend server started to run it. */
  runs: number;
  /** Replies that the node sent and that have not arrived, in order. */
  readonly replies: CallEvent[];
  /** Whether the node that received the call still has the connection of the attempt. */
  connected: boolean;
}
