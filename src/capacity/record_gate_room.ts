import type { ServiceCapacity } from "./service_capacity.ts";

/** Records that a gate has room: it runs fewer calls than it has slots. */
export function recordGateRoom(
  capacity: ServiceCapacity,
  { identifier }: { readonly identifier: string },
): void {
  capacity.fullGates.delete(identifier);
}
