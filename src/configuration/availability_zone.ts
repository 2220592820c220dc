import type { ZoneState } from "./zone_state.ts";

/** An availability zone as the configuration in force sees it. */
export interface AvailabilityZone {
  readonly name: string;
  readonly region: string;
  readonly state: ZoneState;
}
