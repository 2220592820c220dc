import type { ServerResponse } from "node:http";
import type { CallEvent } from "../../calls/call_event.ts";
import type { CallState } from "../../calls/call_state.ts";
import type { CallerCall } from "../../calls/caller_call.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallerAttempt } from "./caller_attempt.ts";
import type { CallsNode } from "./calls_node.ts";

/** The state of one call from a caller while it is in progress. */
export interface CallerRun {
  readonly node: CallsNode;
  readonly call: CallerCall;
  readonly callIdentifier: string;
  readonly body: Uint8Array | undefined;
  /** When the request was received, in milliseconds since the Unix epoch. */
  readonly receivedAt: number;
  readonly response: ServerResponse;
  /** Applies an event to the call and executes the resulting effects. */
  readonly apply: (event: CallEvent) => void;
  state: CallState;
  /** Undefined while no attempt is in progress. */
  currentAttempt: CallerAttempt | undefined;
  /** The backend server of the last attempt. */
  server: BackendServer | undefined;
  /** When the last attempt started, in milliseconds since the Unix epoch. */
  attemptStartedAt: number;
  /** The buffered answer, or the head of a streamed one. */
  answer: StoredAnswer | undefined;
}
