import { match } from "ts-pattern";
import type { BackendServer } from "../configuration/backend_server.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import type { ChoiceCandidate } from "./choice_candidate.ts";
import { ChoicePolicy } from "./choice_policy.ts";

/**
 * How long a report of no free slot is believed. After that the backend server
 * is tried again, so that a lost report cannot shut it out for good.
 */
const fullReportMilliseconds = 500;

/** Chooses among candidates that may all be given the call; undefined where there is none. */
export function chooseBackendServer(
  candidates: readonly ChoiceCandidate[],
  options: {
    readonly now: number;
    readonly zone: string;
    readonly random: RandomSource;
    readonly policy: ChoicePolicy;
  },
): BackendServer | undefined {
  return match(options.policy)
    .with(ChoicePolicy.Random, () => draw(candidates, options.random)?.server)
    .with(ChoicePolicy.TwoChoicesByFreeSlots, () => {
      const roomy = candidates.filter((candidate) =>
        getFreeSlots(candidate, options.now) > 0
      );
      const near = roomy.filter(({ server }) => server.zone === options.zone);
      const drawnFrom = near.length > 0
        ? near
        : roomy.length > 0
        ? roomy
        : candidates;
      return chooseOfTwo(drawnFrom, options);
    })
    .exhaustive();
}

function getFreeSlots(candidate: ChoiceCandidate, now: number): number {
  const { freeSlots, reportedAt } = candidate.view;
  return freeSlots <= 0 && now - reportedAt > fullReportMilliseconds
    ? 1
    : freeSlots;
}

function chooseOfTwo(
  candidates: readonly ChoiceCandidate[],
  options: { readonly now: number; readonly random: RandomSource },
): BackendServer | undefined {
  const first = draw(candidates, options.random);
  const second = draw(
    candidates.filter((candidate) => candidate !== first),
    options.random,
  );
  if (first === undefined || second === undefined) {
    return first?.server;
  }
  return getFreeSlots(second, options.now) > getFreeSlots(first, options.now)
    ? second.server
    : first.server;
}

function draw(
  candidates: readonly ChoiceCandidate[],
  random: RandomSource,
): ChoiceCandidate | undefined {
  return candidates[Math.floor(random.next() * candidates.length)];
}
