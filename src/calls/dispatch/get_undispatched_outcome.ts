import type { DispatchState } from "../dispatch_state.ts";
import { SettlementKind } from "../settlement_kind.ts";

/**
 * Returns the outcome of an attempt that was not dispatched: "not-run", or
 * "unknown" if it joined the run of an earlier attempt with the same key, since
 * that run goes on.
 */
export function getUndispatchedOutcome(
  state: DispatchState,
): SettlementKind.NotRun | SettlementKind.Unknown {
  return state.joinsRun ? SettlementKind.Unknown : SettlementKind.NotRun;
}
