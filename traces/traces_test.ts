import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { AuditEntryKind } from "../src/telemetry/audit_entry_kind.ts";
import { parseTrail } from "./parse_trail.ts";
import { replayTrail } from "./replay_trail.ts";

const folder = "traces";
const trailEnding = ".trail.jsonl";
const outcomeEnding = ".outcome.json";

const read = (file: string) => readFileSync(join(folder, file), "utf8");

readdirSync(folder)
  .filter((file) => file.endsWith(trailEnding))
  .forEach((file) =>
    test(`[point 1: restart with the platform stale] [point 1: same number with other contents] [point 3: refused version followed by a good one] the trail "${file}" comes to its stated outcome`, (t) => {
      const stated = read(file.replace(trailEnding, outcomeEnding));
      t.deepEqual(replayTrail(parseTrail(read(file))), JSON.parse(stated));
    })
  );

test("replayTrail() finds a version that was refused, and one that is older than what was in force", (t) => {
  const entries = parseTrail(read("small_deployment.trail.jsonl"));
  const refused = entries.find((entry) =>
    entry.kind === AuditEntryKind.ConfigurationRefused
  );
  const applied = entries.filter((entry) =>
    entry.kind === AuditEntryKind.ConfigurationApplied
  );
  const last = applied.at(-1)!;
  const forge = (toVersion: typeof last.toVersion) =>
    replayTrail([
      ...entries,
      { ...last, fromVersion: last.toVersion!, toVersion: toVersion! },
    ]).faults;
  t.regex(forge(refused?.toVersion).join(), /that was refused/);
  t.regex(forge(applied[0]?.toVersion).join(), /older than one/);
});
