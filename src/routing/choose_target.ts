import type { CallRoute } from "./call_route.ts";
import type { SplitState } from "./split_state.ts";

/**
 * Chooses the service of the next request by smooth weighted round robin:
 * every span of requests is divided nearly in proportion to the weights.
 * Updates the credits in `state`.
 */
export function chooseTarget(route: CallRoute, state: SplitState): string {
  const [first] = route.targets;
  if (first === undefined) return "";
  if (route.targets.length === 1) return first.service;
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  route.targets.forEach(({ service, weight }) =>
    state.set(service, (state.get(service) ?? 0) + weight)
  );
  const chosen = route.targets
    .filter(({ weight }) => weight > 0)
    .reduce(
      (best, target) =>
        (state.get(target.service) ?? 0) > (state.get(best.service) ?? 0)
          ? target
          : best,
      first,
    ).service;
  state.set(chosen, (state.get(chosen) ?? 0) - total);
  return chosen;
}
