import type { Result } from "true-myth";
import type { ControlCall } from "./control_call.ts";
import type { ControlFailure } from "./control_failure.ts";

/** Sends JSON-RPC requests to other nodes, at path `/control` of their nodes' listener. */
export interface ControlClient {
  /** Resolves with the unchecked result, never rejects. */
  call(call: ControlCall): Promise<Result<unknown, ControlFailure>>;
  /** Closes every connection. */
  close(): Promise<void>;
}
