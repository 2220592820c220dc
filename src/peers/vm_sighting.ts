import type { VmSightingState } from "./vm_sighting_state.ts";

/**
 * A change that a reader of the platform's list saw. Only VMs that were leaving
 * or gone at some time have one; the later instant replaces the other.
 */
export interface VmSighting {
  readonly vm: string;
  readonly state: VmSightingState;
  /** When a node saw it so, in milliseconds since the Unix epoch. */
  readonly at: number;
}
