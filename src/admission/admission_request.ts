import type { CallPriority } from "../configuration/call_priority.ts";

/** A request for a slot of the local backend server. */
export interface AdmissionRequest {
  readonly callIdentifier: string;
  readonly priority: CallPriority;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
}
