import type { ChoiceRule } from "./choice_rule.ts";
import { getServiceFactor } from "./get_service_factor.ts";
import { choiceModelSettings } from "./choice_model_settings.ts";

/** The best possible choice: one node that knows the true state, and the speed at this moment. */
export const chooseWithAllKnown: ChoiceRule = ({ servers, context }) =>
  servers
    .map((server) => ({
      identifier: server.entry.identifier,
      endsAt: Math.max(context.now, Math.min(...server.freeAt)) +
        choiceModelSettings.usualMilliseconds / server.speed *
          getServiceFactor(server.index, context.now),
    }))
    .reduce((best, other) => other.endsAt < best.endsAt ? other : best)
    .identifier;
