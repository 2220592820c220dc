import type { ProcessorTime } from "../fleet/processor_time.ts";
import type { CallPath } from "./call_path.ts";

/** Processor time that the nodes on the way spend on one call. */
export interface ProcessorCost extends ProcessorTime {
  readonly path: CallPath;
  /** Whether the caller hung up on every call. */
  readonly abandoned: boolean;
}
