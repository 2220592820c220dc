import type { Result } from "true-myth";
import type { ControlCall } from "./control_call.ts";
import type { ControlFailure } from "./control_failure.ts";

/**
 * Sends JSON-RPC requests to other nodes, at path `/control` of the listener
 * for nodes.
 */
export interface ControlClient {
  /** Resolves with the result, which has not been validated; never rejects. */
  call(call: ControlCall): Promise<Result<unknown, ControlFailure>>;
  /** Closes all connections. */
  close(): Promise<void>;
}
