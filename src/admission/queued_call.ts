import type { AdmissionRequest } from "./admission_request.ts";

/** A call in the queue for a slot. */
export interface QueuedCall {
  readonly request: AdmissionRequest;
  /** The position in the order of arrival. */
  readonly sequence: number;
}
