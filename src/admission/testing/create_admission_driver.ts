import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { AdmissionDecision } from "../admission_decision.ts";
import type { AdmissionEffect } from "../admission_effect.ts";
import { AdmissionEffectKind } from "../admission_effect_kind.ts";
import type { AdmissionPolicy } from "../admission_policy.ts";
import { createAdmissionPolicy } from "../create_admission_policy.ts";
import { createAdmissionState } from "../create_admission_state.ts";
import { stepAdmission } from "../step_admission.ts";
import type { AdmissionDriver } from "./admission_driver.ts";
import { createTestSettings } from "./create_test_settings.ts";

/**
 * Creates a driver without a snapshot whose clock starts at 1,000,000 ms since
 * the Unix epoch. `policy` overrides the default policy.
 */
export function createAdmissionDriver(
  policy: Partial<AdmissionPolicy> = {},
): AdmissionDriver {
  const settings = createTestSettings();
  const context = {
    random: createRandomSource(1),
    policy: { ...createAdmissionPolicy(settings), ...policy },
  };
  const decisions = new Map<string, readonly AdmissionDecision[]>();
  const effects: AdmissionEffect[] = [];
  let state = createAdmissionState(settings);

  const driver: AdmissionDriver = {
    now: 1_000_000,
    getState: () => state,
    decisions,
    effects,
    send(event) {
      const step = stepAdmission(state, event, { ...context, now: driver.now });
      state = step.state;
      effects.push(...step.effects);
      step.effects.forEach((effect) => {
        if (effect.kind !== AdmissionEffectKind.Decide) return;
        decisions.set(effect.callIdentifier, [
          ...decisions.get(effect.callIdentifier) ?? [],
          effect.decision,
        ]);
      });
      return step.effects;
    },
  };
  return driver;
}
