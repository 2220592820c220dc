import { describeCallCause } from "./describe_call_cause.ts";
import { formatInstant } from "./format_instant.ts";
import type { LogLine } from "./log_line.ts";

/**
 * Explains one call from its log lines of several nodes: the cause of its
 * outcome first, then the lines formatted for display and sorted by time.
 */
export function explainCall(lines: readonly LogLine[]): readonly string[] {
  const sorted = lines.toSorted((left, right) => left.time - right.time);
  return [`Cause: ${describeCallCause(sorted)}`, ...sorted.map(formatLine)];
}

function formatLine(line: LogLine): string {
  const details = Object.entries(line.details)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
  return `${formatInstant(line.time)}  ${line.vm}  ${line.kind}  ${details}`;
}
