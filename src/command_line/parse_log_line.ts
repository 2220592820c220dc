import { tryParseJson } from "../daemon/try_parse_json.ts";
import type { LogLine } from "./log_line.ts";

/** Fields that every line has and that are not details of the decision. */
const commonFields: ReadonlySet<string> = new Set([
  "level",
  "time",
  "vm",
  "zone",
  "kind",
  "call",
]);

/**
 * Parses a log line about a call; returns undefined for any other line. Text
 * that a log collector adds before the JSON is ignored.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  const input = tryParseJson(text.slice(start));
  if (typeof input !== "object" || input === null) return undefined;
  const fields = input as Record<string, unknown>;
  const { time, vm, kind, call } = fields;
  if (
    typeof time !== "number" || typeof vm !== "string" ||
    typeof kind !== "string" || typeof call !== "string"
  ) {
    return undefined;
  }
  const details = Object.fromEntries(
    Object.entries(fields).filter(([name]) => !commonFields.has(name)),
  );
  return { time, vm, kind, call, details };
}
