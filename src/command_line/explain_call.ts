import { formatInstant } from "./format_instant.ts";
import type { LogLine } from "./log_line.ts";
import { parseLogLine } from "./parse_log_line.ts";

/**
 * Returns the log lines of one call from the logs of several nodes, formatted
 * for display and sorted by time.
 */
export function explainCall(
  texts: readonly string[],
  callIdentifier: string,
): readonly string[] {
  return texts
    .flatMap((text) => text.split("\n"))
    .map(parseLogLine)
    .filter((line): line is LogLine => line?.call === callIdentifier)
    .sort((left, right) => left.time - right.time)
    .map(formatLine);
}

function formatLine(line: LogLine): string {
  const details = Object.entries(line.details)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
  return `${formatInstant(line.time)}  ${line.vm}  ${line.kind}  ${details}`;
}
