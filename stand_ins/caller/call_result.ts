import type { CallEnding } from "./call_ending.ts";

/** The result of one attempt of a call. */
export interface CallResult {
  readonly ending: CallEnding;
  readonly elapsedMilliseconds: number;
  /** The refusal's reason, or why the response counts as wrong or cut; empty otherwise. */
  readonly reason: string;
}
