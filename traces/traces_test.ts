import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { AuditEntryKind } from "../src/telemetry/audit_entry_kind.ts";
import { parseTrail } from "./parse_trail.ts";
import { replayTrail } from "./replay_trail.ts";

const folder = "traces";
const trailEnding = ".trail.jsonl";
const outcomeEnding = ".outcome.json";

const readTraceFile = (file: string) =>
  readFileSync(join(folder, file), "utf8");

readdirSync(folder)
  .filter((file) => file.endsWith(trailEnding))
  .forEach((file) =>
    test(`[point 1: restart with the platform stale] [point 1: same number with other contents] [point 3: refused version followed by a good one] replaying the audit trail "${file}" gives the recorded outcome`, (t) => {
      const expected = readTraceFile(file.replace(trailEnding, outcomeEnding));
      t.deepEqual(
        replayTrail(parseTrail(readTraceFile(file))),
        JSON.parse(expected),
      );
    })
  );

test("replayTrail() reports an applied version that was refused or is older than one that was in force", (t) => {
  const entries = parseTrail(readTraceFile("small_deployment.trail.jsonl"));
  const refused = entries.find((entry) =>
    entry.kind === AuditEntryKind.ConfigurationRefused
  );
  const applied = entries.filter((entry) =>
    entry.kind === AuditEntryKind.ConfigurationApplied
  );
  const lastApplied = applied.at(-1)!;
  const replayWithApplied = (toVersion: typeof lastApplied.toVersion) =>
    replayTrail([
      ...entries,
      {
        ...lastApplied,
        fromVersion: lastApplied.toVersion!,
        toVersion: toVersion!,
      },
    ]).faults;
  t.regex(replayWithApplied(refused?.toVersion).join(), /that was refused/);
  t.regex(replayWithApplied(applied[0]?.toVersion).join(), /older than one/);
});
