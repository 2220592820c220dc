import { match } from "ts-pattern";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Returns the refusal reason for a call that gets no slot of a backend server that accepts calls. */
export function getNoSlotReason(state: AdmissionState): RefusalReason {
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      BackendServerState.Cold,
      () => RefusalReason.ColdStart,
    )
    .with(BackendServerState.Ready, () => RefusalReason.Full)
    .with(
      BackendServerState.Draining,
      () => RefusalReason.BackendServerDraining,
    )
    .with(BackendServerState.Down, () => RefusalReason.BackendServerDown)
    .exhaustive();
}
