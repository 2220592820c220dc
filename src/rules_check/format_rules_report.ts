import { findingSeverities } from "./finding_severities.ts";
import { FindingSeverity } from "./finding_severity.ts";
import type { RulesDifference } from "./rules_difference.ts";
import type { RulesFinding } from "./rules_finding.ts";

/** Formats a check of rules: errors, then warnings, then differences, one on each line. */
export function formatRulesReport(
  report: {
    /** The file that was checked. */
    readonly subject: string;
    readonly findings: readonly RulesFinding[];
    readonly differences: readonly RulesDifference[];
  },
): string {
  const { subject, findings, differences } = report;
  const formatFindings = (severity: FindingSeverity) =>
    findings
      .filter(({ kind }) => findingSeverities[kind] === severity)
      .map(({ kind, path, detail }) =>
        `${subject}: ${severity} ${kind}: ${joinParts([path, detail])}\n`
      );
  const lines = [
    ...formatFindings(FindingSeverity.Error),
    ...formatFindings(FindingSeverity.Warning),
    ...differences.map(({ kind, path, fields, effect }) =>
      `${subject}: ${kind}: ${joinParts([path, fields.join(", "), effect])}\n`
    ),
  ];
  return lines.length === 0 ? `${subject}: no findings\n` : lines.join("");
}

function joinParts(parts: readonly string[]): string {
  return parts.filter((part) => part !== "").join(": ");
}
