import test from "ava";
import { createDiagnostic } from "./create_diagnostic.ts";
import { DiagnosticCode } from "./diagnostic_code.ts";
import { formatDiagnostic } from "./format_diagnostic.ts";

test("formatDiagnostic() contains the category, the number and the details, inserted literally", (t) => {
  const diagnostic = createDiagnostic(DiagnosticCode.SettingsFieldInvalid, {
    path: "callers.port",
    found: '"$1"',
    allowed: "a whole number from 0 to 65535",
  });
  t.is(
    formatDiagnostic(diagnostic),
    'error CQ1003: Settings field "callers.port" is "$1", but must be a whole number from 0 to 65535',
  );
});
