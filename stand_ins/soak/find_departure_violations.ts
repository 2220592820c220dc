import { isDisturbed } from "./is_disturbed.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakViolation } from "./soak_violation.ts";

/** Time in which a node stops sending calls to a backend server that leaves. */
const drainMilliseconds = 2_000;

/**
 * Finds requests that reached a backend server through a VM that had passed on
 * its answer with the statement that it is about to leave.
 */
export function findDepartureViolations(
  record: SoakRecord,
): readonly SoakViolation[] {
  const told = Array.from(record.calls.values())
    .flatMap(({ vm, leavingServer, respondedAt }) =>
      leavingServer === undefined || respondedAt === undefined
        ? []
        : [{ vm, server: leavingServer, toldAt: respondedAt }]
    );
  return record.runs.flatMap(({ server, callIdentifier, receivedAt }) => {
    const call = record.calls.get(callIdentifier);
    if (call === undefined) return [];
    const { vm, sentAt } = call;
    const isLate = told.some((statement) =>
      statement.server === server && statement.vm === vm &&
      sentAt > statement.toldAt + drainMilliseconds &&
      !isDisturbed(record, { vm, from: statement.toldAt, until: receivedAt })
    );
    return isLate
      ? [{
        promise:
          "A backend server that is about to leave receives no new calls",
        found: `${callIdentifier} at ${server}`,
      }]
      : [];
  });
}
