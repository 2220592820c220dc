import type { RandomSource } from "../../src/runtime/random_source.ts";
import type { CallerSettings } from "./caller_settings.ts";
import { drawUniform } from "./draw_uniform.ts";
import type { PlannedCall } from "./planned_call.ts";

/** Returns the first attempt of a call, with service, node and time of abandonment drawn at random. */
export function planFirstAttempt(
  settings: CallerSettings,
  options: {
    readonly random: RandomSource;
    readonly now: number;
    readonly token: string;
  },
): PlannedCall {
  const { random, now, token } = options;
  const weights = settings.services.map((service) => service.weight);
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const drawnWeight = random.next() * totalWeight;
  const index = weights.findIndex((_, at) =>
    drawnWeight <
      weights.slice(0, at + 1).reduce((sum, weight) => sum + weight, 0)
  );
  const service = settings.services.at(index) ?? settings.services[0]!;
  const isAbandoned = random.next() < settings.abandonShare;
  const abandonDelayMilliseconds = drawUniform(
    random,
    settings.abandonMilliseconds,
  );
  return {
    service,
    token,
    key: service.keyed ? token : undefined,
    attemptNumber: 1,
    firstAttemptAt: now,
    node: Math.floor(random.next() * settings.nodes.length),
    abandonAfterMilliseconds: isAbandoned
      ? abandonDelayMilliseconds
      : undefined,
  };
}
