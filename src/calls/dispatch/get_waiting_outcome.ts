import type { DispatchState } from "../dispatch_state.ts";
import { SettlementKind } from "../settlement_kind.ts";

/** A try that waits for an earlier attempt did not run, but the request is running. */
export function getWaitingOutcome(
  state: DispatchState,
): SettlementKind.NotRun | SettlementKind.Unknown {
  return state.joinsRun ? SettlementKind.Unknown : SettlementKind.NotRun;
}
