import type { BackendServerView } from "./backend_server_view.ts";

/** Tells whether no call is to be sent now: contact failed lately, or a probing call is out. */
export function isAvoided(view: BackendServerView, now: number): boolean {
  return now < view.avoidedUntil || now < view.probingUntil;
}
