import type { DispatchResult } from "./dispatch_result.ts";

/** What the dispatcher tells the admission once a dispatched call has ended. */
export interface DispatchReport {
  readonly callIdentifier: string;
  readonly result: DispatchResult;
  /** The instant of dispatch, in milliseconds since the Unix epoch. */
  readonly dispatchedAt: number;
}
