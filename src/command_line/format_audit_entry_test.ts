import test from "ava";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { formatAuditEntry } from "./format_audit_entry.ts";

test("formatAuditEntry() shows the change, its source and the reasons of a refusal", (t) => {
  const text = formatAuditEntry({
    kind: AuditEntryKind.ConfigurationRefused,
    at: 0,
    vm: "vm-1",
    source: "vm-2",
    fromVersion: { number: 17, digest: "a".repeat(64) },
    toVersion: { number: 18, digest: "b".repeat(64) },
    reasons: [
      createDiagnostic(DiagnosticCode.ConfigurationFieldInvalid, {
        path: "register.zones",
        found: "7",
        allowed: "a list of zones",
      }),
    ],
  });
  t.is(
    text,
    "1970-01-01T00:00:00.000Z  vm-1  configuration-refused  17 (aaaaaaaaaaaa) to 18 (bbbbbbbbbbbb)  from vm-2\n" +
      '  error CQ2002: Configuration field "register.zones" is 7, but must be a list of zones\n',
  );
});
