import type { ServerResponse } from "node:http";
import type { CallEvent } from "../../calls/call_event.ts";
import type { CallState } from "../../calls/call_state.ts";
import type { CallerCall } from "../../calls/caller_call.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallerTry } from "./caller_try.ts";
import type { CallsNode } from "./calls_node.ts";

/** One call from a caller, under way. */
export interface CallerRun {
  readonly node: CallsNode;
  readonly call: CallerCall;
  readonly callIdentifier: string;
  readonly body: Uint8Array | undefined;
  /** In milliseconds since the Unix epoch. */
  readonly receivedAt: number;
  readonly response: ServerResponse;
  /** Advances the call and carries out what follows. */
  readonly apply: (event: CallEvent) => void;
  state: CallState;
  /** Undefined while no try is under way. */
  currentTry: CallerTry | undefined;
  /** The backend server of the last try. */
  server: BackendServer | undefined;
  /** When that try began, in milliseconds since the Unix epoch. */
  triedAt: number;
  /** The held answer, or the head of a long one. */
  answer: StoredAnswer | undefined;
}
