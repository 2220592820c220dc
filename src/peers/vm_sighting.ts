import type { VmSightingState } from "./vm_sighting_state.ts";

/**
 * A state of a VM that a node observed in the list of the platform. Only VMs
 * that have been leaving or gone have a sighting; the later instant replaces
 * the other.
 */
export interface VmSighting {
  readonly vm: string;
  readonly state: VmSightingState;
  /** When a node observed the state, in milliseconds since the Unix epoch. */
  readonly at: number;
}
