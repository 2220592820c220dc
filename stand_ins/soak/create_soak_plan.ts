import { createSeededRandom } from "../common/create_seeded_random.ts";
import type { SoakFault } from "./soak_fault.ts";
import { SoakFaultKind } from "./soak_fault_kind.ts";
import type { SoakOptions } from "./soak_options.ts";

const millisecondsPerSecond = 1_000;
const faultsPerSecond = 1.2;
const reusesPerSecond = 0.3;
const minimumFaultMilliseconds = 200;
const maximumFaultMilliseconds = 3_000;
/** Traffic without faults at the end, so that every component recovers. */
const recoveryMilliseconds = 3_000;

/** Draws the faults of a soak, which may overlap, in the order of their start; the same seed yields the same faults. */
export function createSoakPlan(options: SoakOptions): readonly SoakFault[] {
  const random = createSeededRandom(options.seed);
  // Seeds of earlier soaks keep their faults.
  const kinds = Object.values(SoakFaultKind)
    .filter((kind) => kind !== SoakFaultKind.ReuseAddress);
  const faultPeriodMilliseconds = options.seconds * millisecondsPerSecond -
    recoveryMilliseconds;
  const count = Math.floor(options.seconds * faultsPerSecond);
  const drawInteger = (limit: number) => Math.floor(random.next() * limit);
  const faults = Array.from({ length: count }, () => {
    const startsAt = drawInteger(faultPeriodMilliseconds);
    const durationMilliseconds = minimumFaultMilliseconds +
      drawInteger(maximumFaultMilliseconds - minimumFaultMilliseconds);
    return {
      kind: kinds[drawInteger(kinds.length)] ?? SoakFaultKind.Kill,
      startsAt,
      endsAt: Math.min(
        faultPeriodMilliseconds,
        startsAt + durationMilliseconds,
      ),
      vm: drawInteger(options.vms),
    };
  });
  const reuseCount = options.reusesAddresses === true
    ? Math.ceil(options.seconds * reusesPerSecond)
    : 0;
  const reuses = Array.from({ length: reuseCount }, () => {
    const startsAt = drawInteger(
      faultPeriodMilliseconds - maximumFaultMilliseconds,
    );
    return {
      kind: SoakFaultKind.ReuseAddress,
      startsAt,
      endsAt: startsAt + maximumFaultMilliseconds,
      vm: drawInteger(options.vms),
    };
  });
  return [...faults, ...reuses].sort((left, right) =>
    left.startsAt - right.startsAt
  );
}
