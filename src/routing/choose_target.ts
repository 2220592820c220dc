import type { CallRoute } from "./call_route.ts";
import type { SplitState } from "./split_state.ts";

/**
 * Chooses the service of the next call by smooth weighted round robin: any
 * sequence of calls is divided nearly in proportion to the weights. Updates the
 * credits in `state`. Returns an empty string for a route without targets.
 *
 * A credit counts calls, not weights, so that it stays below one call when the
 * rules state weights of another scale.
 */
export function chooseTarget(route: CallRoute, state: SplitState): string {
  const [first] = route.targets;
  if (first === undefined) return "";
  if (route.targets.length === 1) return first.service;
  const weighted = route.targets.filter(({ weight }) => weight > 0);
  const [firstWeighted] = weighted;
  if (firstWeighted === undefined) return first.service;
  const totalWeight = weighted.reduce((sum, { weight }) => sum + weight, 0);
  const getCredit = ({ service }: { readonly service: string }) =>
    state.get(service) ?? 0;
  weighted.forEach((target) =>
    state.set(target.service, getCredit(target) + target.weight / totalWeight)
  );
  const chosen = weighted.reduce(
    (best, target) => getCredit(target) > getCredit(best) ? target : best,
    firstWeighted,
  );
  state.set(chosen.service, getCredit(chosen) - 1);
  return chosen.service;
}
