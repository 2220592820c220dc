import { Buffer } from "node:buffer";
import { createReadStream } from "node:fs";
import type { Result } from "true-myth";
import { tryOrElse } from "true-myth/task";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { LogLine } from "./log_line.ts";
import { parseLogLine } from "./parse_log_line.ts";

const blockBytes = 1_048_576;
/** A longer line is none of a node. */
const lineBytesMaximum = 1_048_576;
const lineFeed = 0x0a;

/**
 * Reads the lines on one call from a log file. Only lines that contain the call
 * identifier are parsed, since a log holds thousands of others for each.
 */
export async function readCallLines(
  path: string,
  callIdentifier: string,
): Promise<Result<readonly LogLine[], Diagnostic>> {
  return await tryOrElse(
    (error) =>
      createDiagnostic(DiagnosticCode.FileUnreadable, {
        path,
        found: error instanceof Error ? error.message : String(error),
      }),
    async () => {
      const texts = await readLinesWith(path, JSON.stringify(callIdentifier));
      return texts
        .map(parseLogLine)
        .filter((line): line is LogLine => line?.call === callIdentifier);
    },
  );
}

async function readLinesWith(
  path: string,
  searched: string,
): Promise<readonly string[]> {
  const lines: string[] = [];
  let rest = Buffer.alloc(0);
  // The number of blocks is not known beforehand.
  for await (
    const block of createReadStream(path, { highWaterMark: blockBytes })
  ) {
    const bytes = Buffer.concat([rest, block]);
    const end = bytes.lastIndexOf(lineFeed) + 1;
    lines.push(...selectLinesWith(bytes.subarray(0, end), searched));
    rest = bytes.length - end > lineBytesMaximum
      ? Buffer.alloc(0)
      : bytes.subarray(end);
  }
  return [...lines, ...selectLinesWith(rest, searched)];
}

function selectLinesWith(bytes: Buffer, searched: string): readonly string[] {
  const lines: string[] = [];
  let at = bytes.indexOf(searched);
  // Ends when no further line contains the searched text.
  while (at >= 0) {
    const start = bytes.lastIndexOf(lineFeed, at) + 1;
    const lineEnd = bytes.indexOf(lineFeed, at);
    const end = lineEnd < 0 ? bytes.length : lineEnd;
    lines.push(bytes.toString("utf8", start, end));
    at = bytes.indexOf(searched, end);
  }
  return lines;
}
