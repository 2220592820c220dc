import type { AdmissionDecision } from "../admission_decision.ts";
import type { AdmissionEffect } from "../admission_effect.ts";
import type { AdmissionEvent } from "../admission_event.ts";
import type { AdmissionState } from "../admission_state.ts";

/** Feeds events to `stepAdmission` and records the decisions and effects. */
export interface AdmissionDriver {
  /** The instant of the next event, in milliseconds since the Unix epoch. */
  now: number;
  readonly getState: () => AdmissionState;
  /** Every decision so far, by call identifier, in order. */
  readonly decisions: ReadonlyMap<string, readonly AdmissionDecision[]>;
  /** Every effect so far, in order. */
  readonly effects: readonly AdmissionEffect[];
  /** Handles an event and returns its effects. */
  send(event: AdmissionEvent): readonly AdmissionEffect[];
}
