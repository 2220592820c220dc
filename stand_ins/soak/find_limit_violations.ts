import { isDisturbed } from "./is_disturbed.ts";
import type { SoakLimit } from "./soak_limit.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakViolation } from "./soak_violation.ts";

const windowMilliseconds = 4_000;
const windowSeconds = 4;
const excessFactor = 1.5;
const excessCalls = 5;
/** Time from the answer that a node has passed on until its calls count. */
const learnMilliseconds = 500;

/**
 * Finds backend servers that received more requests than they stated to take,
 * from the VMs that had passed on an answer with the limit.
 */
export function findLimitViolations(
  record: SoakRecord,
): readonly SoakViolation[] {
  return record.limits.flatMap((limit) => {
    const arrivals = listCountedArrivals(limit, record);
    const most = Math.max(
      0,
      ...arrivals.map((from) =>
        arrivals.filter((at) => at >= from && at < from + windowMilliseconds)
          .length
      ),
    );
    const allowed = limit.callsPerSecond * excessFactor * windowSeconds +
      excessCalls;
    return most <= allowed ? [] : [{
      promise: "A backend server receives no more calls than it states to take",
      found: `${limit.server} received ${most} in 4 s, allowed ${allowed}`,
    }];
  });
}

/** Returns when the requests arrived that count against the limit, in order. */
function listCountedArrivals(
  limit: SoakLimit,
  record: SoakRecord,
): readonly number[] {
  const toldAtByVm = new Map<number, number>();
  record.calls.forEach(({ vm, limitedServer, respondedAt }) => {
    if (limitedServer !== limit.server || respondedAt === undefined) return;
    // Told by an earlier limit that was lifted.
    if (respondedAt < limit.from) return;
    const earlier = toldAtByVm.get(vm) ?? Number.POSITIVE_INFINITY;
    toldAtByVm.set(vm, Math.min(earlier, respondedAt));
  });
  return record.runs
    .filter(({ server, receivedAt, callIdentifier }) => {
      const vm = record.calls.get(callIdentifier)?.vm;
      const toldAt = vm === undefined ? undefined : toldAtByVm.get(vm);
      return vm !== undefined && toldAt !== undefined &&
        server === limit.server && receivedAt < limit.until &&
        receivedAt >= toldAt + learnMilliseconds &&
        !isDisturbed(record, { vm, from: toldAt, until: receivedAt });
    })
    .map(({ receivedAt }) => receivedAt)
    .toSorted((left, right) => left - right);
}
