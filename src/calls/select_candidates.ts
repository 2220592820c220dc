import type { BackendServer } from "../configuration/backend_server.ts";
import type { ChoiceCandidate } from "./choice_candidate.ts";
import type { BackendServerView } from "./backend_server_view.ts";
import { isAvoided } from "./is_avoided.ts";

/** Returns the eligible servers to which the call was not sent yet and that are not avoided now. */
export function selectCandidates(
  eligible: readonly BackendServer[],
  options: {
    readonly now: number;
    readonly excluded: readonly string[];
    readonly getView: (server: BackendServer) => BackendServerView;
  },
): readonly ChoiceCandidate[] {
  const { now, excluded, getView } = options;
  return eligible
    .filter(({ name }) => !excluded.includes(name))
    .map((server) => ({ server, view: getView(server) }))
    .filter(({ view }) => !isAvoided(view, now));
}
