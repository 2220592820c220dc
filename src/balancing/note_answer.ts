import type { GateView } from "./gate_view.ts";

/** Share of the newest observation in the moving averages. */
const newestShare = 0.2;

/** Takes an answer of the backend server into the averages. */
export function noteAnswer(
  view: GateView,
  options: {
    readonly route: string;
    readonly elapsedMilliseconds: number;
    readonly failed: boolean;
  },
): void {
  view.failureShare += ((options.failed ? 1 : 0) - view.failureShare) *
    newestShare;
  if (options.failed) return;
  const known = view.answerMilliseconds.get(options.route);
  const next = known === undefined
    ? options.elapsedMilliseconds
    : known + (options.elapsedMilliseconds - known) * newestShare;
  view.answerMilliseconds.set(options.route, next);
}
