import { updateAverage } from "../collections/update_average.ts";
import type { GateView } from "./gate_view.ts";
import { recordSlowness } from "./record_slowness.ts";

/** Weight of the newest answer in the average time to an answer of a backend server. */
const newestWeight = 0.1;
/** Weight of the newest answer in the averages of the service. */
const newestServiceWeight = 0.02;

/** Records the time to a successful answer, for the backend server and for its service. */
export function recordAnswerTime(
  view: GateView,
  options: {
    readonly route: string;
    readonly elapsedMilliseconds: number;
    readonly now: number;
  },
): void {
  const { route, elapsedMilliseconds: newest } = options;
  const { serviceLoad } = view;
  recordSlowness(view, options);
  updateAverage(view.answerMilliseconds, route, {
    newest,
    weight: newestWeight,
  });
  updateAverage(serviceLoad.answerMilliseconds, route, {
    newest,
    weight: newestServiceWeight,
  });
}
