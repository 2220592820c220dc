import type { GateLoad } from "../balancing/gate_load.ts";

/** Whether a reported load shows that a gate can start a call at once. */
export function hasRoom(load: GateLoad): boolean {
  return !load.cold && load.queued === 0 && load.running < load.slots;
}
