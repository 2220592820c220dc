import type { IncomingMessage, ServerResponse } from "node:http";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { CallsStatus } from "./calls_status.ts";

/** Carries the calls of callers and of other nodes, and responds to each exactly once. */
export interface CallsRuntime {
  /** Serves one request of the callers' listener. */
  handleCallerRequest(request: IncomingMessage, response: ServerResponse): void;
  /** Serves one forwarded call of another node, at path `/call` of the nodes' listener. */
  handleForwardedCall(request: IncomingMessage, response: ServerResponse): void;
  /** Serves the control methods `settleCall` and `settleKey` of other nodes. */
  handleControlMethod(method: string, parameters: unknown): Promise<unknown>;
  /** Creates the connection pools that the snapshot needs, before it comes into force. */
  prepareSnapshot(snapshot: Snapshot): Promise<void>;
  /** Puts the snapshot in force for new calls; running calls keep theirs. */
  applySnapshot(snapshot: Snapshot): void;
  /** Refuses new calls as not run while the node confirms its view after a pause. */
  setConfirmingView(confirming: boolean): void;
  /** Refuses new calls and resolves when the last running call has ended. */
  drain(): Promise<void>;
  /** Closes every connection; returns the number of calls that were cut off. */
  stop(): Promise<number>;
  getStatus(): CallsStatus;
}
