import { updateAverage } from "../collections/update_average.ts";
import type { GateView } from "./gate_view.ts";
import { getRememberedShare } from "./get_remembered_share.ts";

/** Share of the newest observation in the moving averages. */
const newestShare = 0.1;
const newestFailureShare = 0.2;

/** Takes an answer of the backend server into the averages. */
export function noteAnswer(
  view: GateView,
  options: {
    readonly route: string;
    readonly elapsedMilliseconds: number;
    readonly failed: boolean;
    readonly now: number;
  },
): void {
  const remembered = view.failureShare * getRememberedShare(view, options.now);
  view.failureShare = remembered +
    ((options.failed ? 1 : 0) - remembered) * newestFailureShare;
  view.judgedAt = options.now;
  if (options.failed) return;
  updateAverage(view.answerMilliseconds, options.route, {
    newest: options.elapsedMilliseconds,
    share: newestShare,
  });
}
