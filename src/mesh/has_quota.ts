import type { Organisation } from "../organisations/organisation.ts";

/** Whether the calls of an organisation are limited over all nodes. */
export function hasQuota({ callsPerSecond }: Organisation): boolean {
  return callsPerSecond > 0;
}
