import type { CallSignal } from "./call_signal.ts";

/** Aborts the signal of a call. */
export interface CallController {
  readonly signal: CallSignal;
  /** Calls each listener once; has no effect the second time. */
  readonly abort: () => void;
}
