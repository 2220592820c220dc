import type { BackendServerView } from "./backend_server_view.ts";

/**
 * Returns whether no call is to be sent now: the backend server is in backoff,
 * or a call sent as a probe has not ended.
 */
export function isAvoided(view: BackendServerView, now: number): boolean {
  return now < view.avoidedUntil || now < view.probingUntil;
}
