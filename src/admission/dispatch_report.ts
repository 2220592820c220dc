import type { DispatchResult } from "./dispatch_result.ts";

/** The dispatcher's report to the admission on a dispatched call that has ended. */
export interface DispatchReport {
  readonly callIdentifier: string;
  readonly result: DispatchResult;
  /** The instant of dispatch, in milliseconds since the Unix epoch. */
  readonly dispatchedAt: number;
}
