import { updateAverage } from "../collections/update_average.ts";
import type { GateView } from "./gate_view.ts";
import { getSlowness } from "./get_slowness.ts";

/** A backend server may become slow for less than a second, in which a node gets few of its answers. */
const answerWeight = 0.3;
/** The node beside the backend server reports an average already. */
const reportWeight = 0.7;
/** Weight of the newest report in the average of the service. */
const newestServiceWeight = 0.02;
/** Keeps a single answer, such as one that waited for long, from deciding alone. */
const slownessMaximum = 5;
/** Keeps times below the resolution of the clock from counting as no time. */
const millisecondsMinimum = 0.1;

/**
 * Records how slow the backend server is. Routes differ in what a call costs, so
 * times are divided by the mean of their route over the service: any route shows
 * a change. The time that its node reports is preferred, as this node sees only
 * few of its answers; otherwise the time to the answer is used.
 */
export function recordSlowness(
  view: GateView,
  options: {
    readonly route: string;
    readonly elapsedMilliseconds: number;
    readonly now: number;
  },
): void {
  const { route, elapsedMilliseconds, now } = options;
  const { serviceLoad } = view;
  const previous = getSlowness(view, now);
  const update = (milliseconds: number, mean: number, weight: number) => {
    const observed = Math.min(
      slownessMaximum,
      milliseconds / Math.max(millisecondsMinimum, mean),
    );
    view.slowness = previous + (observed - previous) * weight;
    view.slownessAt = now;
  };
  const reported = view.load?.routeService;
  if (reported === undefined || reported.route !== route) {
    const mean = serviceLoad.answerMilliseconds.get(route);
    if (mean !== undefined) update(elapsedMilliseconds, mean, answerWeight);
    return;
  }
  updateAverage(serviceLoad.serviceMilliseconds, route, {
    newest: reported.milliseconds,
    weight: newestServiceWeight,
  });
  const mean = serviceLoad.serviceMilliseconds.get(route) ??
    reported.milliseconds;
  update(reported.milliseconds, mean, reportWeight);
}
