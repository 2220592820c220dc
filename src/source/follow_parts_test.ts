import test from "ava";
import { setImmediate } from "node:timers/promises";
import { Result } from "true-myth";
import { followParts } from "./follow_parts.ts";
import type { SourceClient } from "./source_client.ts";
import type { SourceFailure } from "./source_failure.ts";
import { SourceFailureKind } from "./source_failure_kind.ts";
import type { SourceItem } from "./source_item.ts";
import { SourcePart } from "./source_part.ts";
import type { SourceReading } from "./source_reading.ts";

type ReadResult = Result<SourceReading, SourceFailure>;

const item: SourceItem = { key: "k", revision: 6, fact: undefined };
const turns = 20;

/** Follows the parts with scripted reads of backend servers; returns what happened. */
async function follow(script: readonly ReadResult[]) {
  const results = [...script];
  const reads: number[] = [];
  const readings: SourceReading[] = [];
  const failures: SourceFailureKind[] = [];
  const never = new Promise<ReadResult>(() => undefined);
  const client: SourceClient = {
    readAll: () => never,
    readChanges: () => never,
    readBackendServer: () => never,
    readPart: (part, { revision }) => {
      if (part !== SourcePart.BackendServers) return never;
      reads.push(revision);
      const next = results.shift();
      return next === undefined ? never : Promise.resolve(next);
    },
    close: () => undefined,
  };
  const parts = followParts({
    client,
    after: { era: 1, revision: 5 },
    onReading: (reading) => void readings.push(reading),
    onFailure: (_part, { kind }) => void failures.push(kind),
    wait: async () => void await setImmediate(),
  });
  await waitTurns(turns);
  parts.stop();
  return { reads, readings, failures };
}

async function waitTurns(count: number): Promise<void> {
  if (count === 0) return;
  await setImmediate();
  await waitTurns(count - 1);
}

function succeed(items: readonly SourceItem[], revision: number, era = 1) {
  return Result.ok<SourceReading, SourceFailure>({ items, era, revision });
}

function fail(kind: SourceFailureKind): ReadResult {
  return Result.err({ kind, found: "scripted failure" });
}

test("a part is read after the last revision, and a reading without changes is not passed on", async (t) => {
  const followed = await follow([succeed([item], 6), succeed([], 9)]);
  t.deepEqual(followed.reads, [5, 6, 9]);
  t.deepEqual(followed.readings.map(({ revision }) => revision), [6]);
});

test("a failed read is repeated, and lost history ends the reads", async (t) => {
  const followed = await follow([
    fail(SourceFailureKind.Unreachable),
    succeed([item], 6),
    fail(SourceFailureKind.HistoryLost),
    succeed([item], 7),
  ]);
  t.deepEqual(followed.reads, [5, 5, 6]);
  t.deepEqual(followed.failures, [
    SourceFailureKind.Unreachable,
    SourceFailureKind.HistoryLost,
  ]);
});

// Guards against entries of an older copy of the source, whose revisions start
// again.
test("a reading of a later era is not passed on", async (t) => {
  const followed = await follow([succeed([item], 6, 2)]);
  t.deepEqual(followed.readings, []);
  t.deepEqual(followed.reads, [5]);
});
