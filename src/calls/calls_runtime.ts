import type { IncomingMessage, ServerResponse } from "node:http";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { CallsStatus } from "./calls_status.ts";

/** Takes calls from callers and from other nodes, and answers each once. */
export interface CallsRuntime {
  /** Serves one request of the callers' listener. */
  handleCallerRequest(request: IncomingMessage, response: ServerResponse): void;
  /** Serves one call that another node hands over, at path `/call` of the nodes' listener. */
  handleForwardedCall(request: IncomingMessage, response: ServerResponse): void;
  /** Answers the control methods `settleCall` and `settleKey` of other nodes. */
  handleControlMethod(method: string, parameters: unknown): Promise<unknown>;
  /** Creates what the snapshot needs (connection pools to its nodes) before it is put in force. */
  prepareSnapshot(snapshot: Snapshot): Promise<void>;
  /** Puts the snapshot in force for new calls; calls that run keep theirs. */
  applySnapshot(snapshot: Snapshot): void;
  /** Refuses new calls as not run while the node confirms its view after a pause. */
  setConfirmingView(confirming: boolean): void;
  /** Refuses new calls and resolves when the last running one has its answer. */
  drain(): Promise<void>;
  /** Closes every connection; returns how many calls were cut. */
  stop(): Promise<number>;
  getStatus(): CallsStatus;
}
