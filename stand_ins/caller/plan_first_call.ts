import type { RandomSource } from "../../src/runtime/random_source.ts";
import type { CallerSettings } from "./caller_settings.ts";
import { drawBetween } from "./draw_between.ts";
import type { PlannedCall } from "./planned_call.ts";

/** Draws service, node and patience of a first attempt. */
export function planFirstCall(
  settings: CallerSettings,
  options: {
    readonly random: RandomSource;
    readonly now: number;
    readonly token: string;
  },
): PlannedCall {
  const { random, now, token } = options;
  const weights = settings.services.map((service) => service.weight);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const drawn = random.next() * total;
  const index = weights.findIndex((_, at) =>
    drawn < weights.slice(0, at + 1).reduce((sum, weight) => sum + weight, 0)
  );
  const service = settings.services.at(index) ?? settings.services[0]!;
  const leaves = random.next() < settings.abandonShare;
  const patience = drawBetween(random, settings.abandonMilliseconds);
  return {
    service,
    token,
    key: service.keyed ? token : undefined,
    attempt: 1,
    firstAttemptAt: now,
    node: Math.floor(random.next() * settings.nodes.length),
    patienceMilliseconds: leaves ? patience : undefined,
  };
}
