import type { CallRoute } from "./call_route.ts";
import type { SplitState } from "./split_state.ts";

/**
 * Chooses the service of the next call by smooth weighted round robin: any
 * sequence of calls is divided nearly in proportion to the weights. Updates the
 * credits in `state`. Returns an empty string for a route without targets.
 */
export function chooseTarget(route: CallRoute, state: SplitState): string {
  const [first] = route.targets;
  if (first === undefined) return "";
  if (route.targets.length === 1) return first.service;
  const totalWeight = route.targets.reduce(
    (sum, target) => sum + target.weight,
    0,
  );
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
  state.set(chosen, (state.get(chosen) ?? 0) - totalWeight);
  return chosen;
}
