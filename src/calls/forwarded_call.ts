import type { CallPriority } from "../configuration/call_priority.ts";
import type { CallKey } from "./call_key.ts";

/** One try of a call, as it is handed to the node beside a backend server. */
export interface ForwardedCall {
  /** The same for all tries of one call. */
  readonly callIdentifier: string;
  /** 1 for the first try, then 2, and so on. */
  readonly attempt: number;
  /** Name of the backend server that is to run the call. */
  readonly backendServer: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly path: string;
  /** Names and values in turn, without headers of one hop and of the mesh. */
  readonly headers: readonly string[];
  /** Undefined where the caller sent none. */
  readonly body: Uint8Array | undefined;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  readonly priority: CallPriority;
  /** Whether the call may be run more than once. */
  readonly idempotent: boolean;
  /** Undefined for an idempotent call and for a call without a key. */
  readonly key: CallKey | undefined;
}
