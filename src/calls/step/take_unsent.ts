import type { CallContext } from "../call_context.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { tryElsewhere } from "./try_elsewhere.ts";

/** Takes note that a try did not reach its node: it has not run. */
export function takeUnsent(
  state: CallState,
  context: CallContext,
  options: { readonly processGone: boolean },
): CallStep {
  const step = tryElsewhere(state, context, {
    keySettled: false,
    refusal: createRefusal(
      RefusalReason.BackendServerDown,
      Outcome.NotRun,
      { now: context.now },
    ),
  });
  return {
    ...step,
    effects: [
      { kind: CallEffectKind.AvoidNode, ...options },
      ...step.effects,
    ],
  };
}
