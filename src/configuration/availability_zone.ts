import type { ZoneState } from "./zone_state.ts";

/** An availability zone of a compiled configuration. */
export interface AvailabilityZone {
  readonly name: string;
  readonly region: string;
  readonly state: ZoneState;
}
