import type { ViewChange } from "./view_change.ts";
import type { CallEvent } from "./call_event.ts";

/** Receives what a node decides and learns, for logs and metrics. */
export interface MeshReport {
  /** A decision on a call. */
  call(event: CallEvent): void;
  belief(change: ViewChange): void;
  /** A change of the process or of something that it depends on. */
  state(subject: string, fields: Readonly<Record<string, unknown>>): void;
}
