import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Returns the effective concurrency limit of the backend server, from 0 to its slots. */
export function getEffectiveLimit(state: AdmissionState): number {
  const server = state.backendServer;
  if (server === undefined) return 0;
  const current = Math.max(
    1,
    Math.floor(Math.min(state.limit.current, server.slots)),
  );
  return match(state.backendServerState)
    .with(BackendServerState.Unknown, () => Math.min(current, server.coldSlots))
    .with(BackendServerState.Cold, BackendServerState.Ready, () => current)
    .with(BackendServerState.Draining, () => 0)
    // One slot for a trial call.
    .with(BackendServerState.Down, () => 1)
    .exhaustive();
}
