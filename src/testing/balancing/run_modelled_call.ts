import type { GateView } from "../../balancing/gate_view.ts";
import { recordAnswer } from "../../balancing/record_answer.ts";
import { releaseSlot } from "../../gate/release_slot.ts";
import { getRouteServiceMilliseconds } from "../../gate/get_route_service_milliseconds.ts";
import type { RandomSource } from "../../runtime/random_source.ts";
import { choiceModelSettings } from "./choice_model_settings.ts";
import { getModelledStart } from "./get_modelled_start.ts";
import { getServiceFactor } from "./get_service_factor.ts";
import type { ModelledServer } from "./modelled_server.ts";

/**
 * Runs a call at a backend server: occupies a slot, and releases it and records
 * the answer in the view of the caller's node when it ends. Returns the instants.
 */
export function runModelledCall(
  server: ModelledServer,
  options: {
    readonly callIdentifier: string;
    readonly view: GateView;
    readonly now: number;
    readonly random: RandomSource;
    readonly schedule: (instant: number, callback: () => void) => void;
  },
): { readonly startsAt: number; readonly endsAt: number } {
  const { callIdentifier, view, now, random, schedule } = options;
  const { gate, freeAt } = server;
  const { route, usualMilliseconds } = choiceModelSettings;
  const startsAt = getModelledStart(server, now);
  const endsAt = startsAt + usualMilliseconds / server.speed *
      getServiceFactor(server.index, startsAt) * (0.5 + random.next());
  freeAt[freeAt.indexOf(Math.min(...freeAt))] = endsAt;
  view.inFlight += 1;
  gate.running.set(callIdentifier, {
    route,
    getFingerprint: () => callIdentifier,
    isNested: false,
    shareKey: "vitrine",
    startedAt: startsAt,
  });
  schedule(endsAt, () => {
    view.inFlight -= 1;
    releaseSlot(gate, {
      offerIdentifier: callIdentifier,
      answered: true,
      now: endsAt,
    });
    const milliseconds = getRouteServiceMilliseconds(gate, route);
    if (view.load !== undefined) {
      view.load = { ...view.load, routeService: { route, milliseconds } };
    }
    recordAnswer(view, {
      route,
      elapsedMilliseconds: endsAt - now,
      failed: false,
      now: endsAt,
    });
  });
  return { startsAt, endsAt };
}
