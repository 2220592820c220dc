import { chooseFromSample } from "../../balancing/choose_from_sample.ts";
import { isOwnServerFirst } from "../../balancing/is_own_server_first.ts";
import { rankCandidates } from "../../balancing/rank_candidates.ts";
import type { ChoiceRule } from "./choice_rule.ts";

/** The rule of the product. */
export const chooseBySample: ChoiceRule = (
  { candidates, context, own, isUsable },
) => {
  const first = candidates.own;
  const { gate } = own;
  const isOwnFirst = first !== undefined && isUsable(first) &&
    isOwnServerFirst(first, { ...context, gate });
  if (isOwnFirst) return first.entry.identifier;
  const chosen = chooseFromSample(candidates, { ...context, isUsable }) ??
    rankCandidates(candidates.all.filter(isUsable), context)[0];
  return chosen?.entry.identifier;
};
