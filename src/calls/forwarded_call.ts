import type { CallPriority } from "../configuration/call_priority.ts";
import type { CallKey } from "./call_key.ts";

/** One attempt of a call as it is forwarded to the node beside a backend server. */
export interface ForwardedCall {
  /** Shared by all attempts of one call. */
  readonly callIdentifier: string;
  /** The number of the attempt, from 1. */
  readonly attempt: number;
  /** Name of the backend server that is to run the call. */
  readonly backendServer: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop headers and headers of the mesh. */
  readonly headers: readonly string[];
  /** Undefined if the caller sent none. */
  readonly body: Uint8Array | undefined;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  readonly priority: CallPriority;
  /** Whether the call may be run more than once. */
  readonly idempotent: boolean;
  /** Undefined for an idempotent call and for a call without a key. */
  readonly key: CallKey | undefined;
}
