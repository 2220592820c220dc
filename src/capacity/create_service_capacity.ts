import type { ServiceCapacity } from "./service_capacity.ts";

/** Creates the knowledge of a service to which no call was offered yet. */
export function createServiceCapacity(): ServiceCapacity {
  return { fullGates: new Map(), promisedUntil: 0 };
}
