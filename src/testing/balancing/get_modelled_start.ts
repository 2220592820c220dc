import type { ModelledServer } from "./modelled_server.ts";

/** Returns when a call that arrives at `now` would get a slot. */
export function getModelledStart(
  { freeAt }: ModelledServer,
  now: number,
): number {
  return Math.max(now, Math.min(...freeAt));
}
