import { DispatchResult } from "../../admission/dispatch_result.ts";
import type { DispatchEffect } from "../dispatch_effect.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";

/** Creates the effect that reports to the admission how an admitted attempt ended. */
export function createReport(
  state: DispatchState,
  result: DispatchResult,
): DispatchEffect {
  return {
    kind: DispatchEffectKind.Report,
    result,
    dispatchedAt: state.dispatchedAt,
  };
}
