import { createSeededRandom } from "../common/create_seeded_random.ts";
import type { SoakFault } from "./soak_fault.ts";
import { SoakFaultKind } from "./soak_fault_kind.ts";
import type { SoakOptions } from "./soak_options.ts";

const millisecondsPerSecond = 1_000;
const faultsPerSecond = 1.2;
const shortestMilliseconds = 200;
const longestMilliseconds = 3_000;
/** Traffic goes on without faults at the end, so that everything comes back. */
const calmMilliseconds = 3_000;

/** Draws the faults of a soak: in series, overlapping, the same for the same seed. */
export function createSoakPlan(options: SoakOptions): readonly SoakFault[] {
  const random = createSeededRandom(options.seed);
  const kinds = Object.values(SoakFaultKind);
  const length = options.seconds * millisecondsPerSecond - calmMilliseconds;
  const count = Math.floor(options.seconds * faultsPerSecond);
  const draw = (most: number) => Math.floor(random.next() * most);
  return Array.from({ length: count }, () => {
    const startsAt = draw(length);
    const span = shortestMilliseconds +
      draw(longestMilliseconds - shortestMilliseconds);
    return {
      kind: kinds[draw(kinds.length)] ?? SoakFaultKind.Kill,
      startsAt,
      endsAt: Math.min(length, startsAt + span),
      vm: draw(options.vms),
    };
  }).sort((left, right) => left.startsAt - right.startsAt);
}
