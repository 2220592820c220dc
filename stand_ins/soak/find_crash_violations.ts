import { groupBy } from "../../src/collections/group_by.ts";
import { crashingPath } from "./crashing_path.ts";
import { isDisturbed } from "./is_disturbed.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakViolation } from "./soak_violation.ts";

/** Crashes after which every node must learn of a request. */
const crashesMaximum = 3;
/** Time in which every node learns of it. */
const learnMilliseconds = 3_000;
const furtherRunsMaximum = 3;

/** Finds requests that crashed three backend servers and went on to others. */
export function findCrashViolations(
  record: SoakRecord,
): readonly SoakViolation[] {
  const crashes = groupBy(
    record.runs.filter(({ url }) => url.startsWith(crashingPath)),
    ({ url, callerService }) => `${callerService} ${url}`,
  );
  return Array.from(crashes).flatMap(([request, runs]) => {
    const third = runs[crashesMaximum - 1];
    if (third === undefined) return [];
    const knownAt = third.receivedAt + learnMilliseconds;
    const further = runs.filter(({ callIdentifier }) => {
      const call = record.calls.get(callIdentifier);
      return call !== undefined && call.sentAt > knownAt &&
        !isDisturbed(record, {
          vm: call.vm,
          from: call.sentAt - learnMilliseconds,
          until: call.sentAt,
        });
    });
    return further.length <= furtherRunsMaximum ? [] : [{
      promise: "A request that crashed three backend servers is refused",
      found: `${request} ran ${further.length} times more`,
    }];
  });
}
