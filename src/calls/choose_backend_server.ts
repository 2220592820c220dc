import { match } from "ts-pattern";
import type { BackendServer } from "../configuration/backend_server.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import type { ChoiceCandidate } from "./choice_candidate.ts";
import { ChoicePolicy } from "./choice_policy.ts";

/**
 * How long a report of no free slots is used. After that the backend server
 * counts as having one free slot, so that a lost report cannot exclude it for
 * good.
 */
const fullReportLifetimeMilliseconds = 500;

/** Chooses among candidates that may all receive the call; returns undefined if there are none. */
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
    .with(
      ChoicePolicy.Random,
      () => pickRandom(candidates, options.random)?.server,
    )
    .with(ChoicePolicy.TwoChoicesByFreeSlots, () => {
      const withFreeSlots = candidates.filter((candidate) =>
        getFreeSlots(candidate, options.now) > 0
      );
      const inSameZone = withFreeSlots.filter(({ server }) =>
        server.zone === options.zone
      );
      const pool = inSameZone.length > 0
        ? inSameZone
        : withFreeSlots.length > 0
        ? withFreeSlots
        : candidates;
      return pickFreerOfTwo(pool, options);
    })
    .exhaustive();
}

function getFreeSlots(candidate: ChoiceCandidate, now: number): number {
  const { freeSlots, reportedAt } = candidate.view;
  return freeSlots <= 0 && now - reportedAt > fullReportLifetimeMilliseconds
    ? 1
    : freeSlots;
}

function pickFreerOfTwo(
  candidates: readonly ChoiceCandidate[],
  options: { readonly now: number; readonly random: RandomSource },
): BackendServer | undefined {
  const first = pickRandom(candidates, options.random);
  const second = pickRandom(
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

function pickRandom(
  candidates: readonly ChoiceCandidate[],
  random: RandomSource,
): ChoiceCandidate | undefined {
  return candidates[Math.floor(random.next() * candidates.length)];
}
