import { updateAverage } from "../collections/update_average.ts";
import type { GateView } from "./gate_view.ts";
import { getSlowness } from "./get_slowness.ts";

/** Weight of the newest time to an answer. It is high, since a node gets few answers of a backend server while it is slow. */
const answerWeight = 0.3;
/** Weight of the newest reported time, which is an average already. */
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
  const reported = view.load?.routeService;
  if (reported?.route === route) {
    const { milliseconds } = reported;
    updateAverage(serviceLoad.serviceMilliseconds, route, {
      newest: milliseconds,
      weight: newestServiceWeight,
    });
    updateSlowness(view, {
      milliseconds,
      meanMilliseconds: serviceLoad.serviceMilliseconds.get(route) ??
        milliseconds,
      weight: reportWeight,
      now,
    });
    return;
  }
  const meanMilliseconds = serviceLoad.answerMilliseconds.get(route);
  if (meanMilliseconds === undefined) return;
  updateSlowness(view, {
    milliseconds: elapsedMilliseconds,
    meanMilliseconds,
    weight: answerWeight,
    now,
  });
}

function updateSlowness(
  view: GateView,
  options: {
    readonly milliseconds: number;
    readonly meanMilliseconds: number;
    /** Weight of this call against those before it, 0 to 1. */
    readonly weight: number;
    readonly now: number;
  },
): void {
  const { milliseconds, meanMilliseconds, weight, now } = options;
  const previous = getSlowness(view, now);
  const observed = Math.min(
    slownessMaximum,
    milliseconds / Math.max(millisecondsMinimum, meanMilliseconds),
  );
  view.slowness = previous + (observed - previous) * weight;
  view.slownessAt = now;
}
