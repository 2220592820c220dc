import type { CallEvent } from "./call_event.ts";
import type { ViewChange } from "./view_change.ts";

/** Receives the events of a node for logs and metrics. */
export interface MeshReporter {
  /** Reports a decision on a call, or an event of its processing. */
  call(event: CallEvent): void;
  /** Reports a change of the node's view. */
  viewChange(change: ViewChange): void;
  /** Reports a change of the process or of something that it depends on. */
  state(subject: string, fields: Readonly<Record<string, unknown>>): void;
}
