import type { AdmissionRequest } from "./admission_request.ts";

/** A call that waits for a slot. */
export interface QueuedCall {
  readonly request: AdmissionRequest;
  /** The order of arrival, ascending. */
  readonly sequence: number;
}
