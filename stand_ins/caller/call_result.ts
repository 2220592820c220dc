import type { CallEnding } from "./call_ending.ts";

/** What came of one attempt. */
export interface CallResult {
  readonly ending: CallEnding;
  readonly elapsedMilliseconds: number;
  /** The refusal's reason, or why an answer counts as wrong or cut. */
  readonly reason: string;
}
