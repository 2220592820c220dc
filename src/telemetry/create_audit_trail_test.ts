import test from "ava";
import type { AuditEntry } from "./audit_entry.ts";
import { AuditEntryKind } from "./audit_entry_kind.ts";
import { createAuditTrail } from "./create_audit_trail.ts";

test("createAuditTrail() adds time and VM to each entry, retains it and sends it to followers", (t) => {
  const written: AuditEntry[] = [];
  const followed: AuditEntry[] = [];
  const trail = createAuditTrail({
    vm: "vm-1",
    clock: { now: () => 5 },
    write: (entry) => written.push(entry),
  });
  const unfollow = trail.follow((entry) => followed.push(entry));
  trail.record({
    kind: AuditEntryKind.NodeStarted,
    source: "self",
    reasons: [],
  });
  unfollow();
  trail.record({
    kind: AuditEntryKind.NodeStopping,
    source: "self",
    reasons: [],
  });
  t.deepEqual(written.map((entry) => [entry.at, entry.vm]), [[5, "vm-1"], [
    5,
    "vm-1",
  ]]);
  t.is(followed.length, 1);
  t.is(trail.getRecent().length, 2);
});
