import type { CallPath } from "./call_path.ts";

/** Processor time that the nodes on the way spend on one call, in milliseconds. */
export interface ProcessorCost {
  readonly path: CallPath;
  /** Whether the caller hung up on every call. */
  readonly abandoned: boolean;
  readonly milliseconds: number;
  /** Calls a second while it was measured. */
  readonly callsPerSecond: number;
}
