import type { ProcessorTime } from "../fleet/processor_time.ts";
import type { CallPath } from "./call_path.ts";

/** Processor time that the nodes on a path spend on one call. */
export interface ProcessorCost extends ProcessorTime {
  readonly path: CallPath;
  /** Whether the caller aborted every call. */
  readonly abandoned: boolean;
}
