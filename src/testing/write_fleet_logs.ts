import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const recordedLog = "src/command_line/baselines/mesh_log.jsonl";
const recordedTime = 1_777_119_179_832;
/** The interval of lines at the rate limit of a node's log. */
const lineMilliseconds = 1_000 / 60;
const callIdentifierDigits = 16;

/**
 * Writes the logs of a fleet, one file for each node, with lines as recorded on
 * a day with trouble and a call identifier of its own for every few lines.
 * Returns the paths of the files.
 */
export function writeFleetLogs(
  folder: string,
  options: { readonly nodes: number; readonly linesPerNode: number },
): readonly string[] {
  const recorded = readFileSync(recordedLog, "utf8")
    .split("\n")
    .filter((line) => line.startsWith("{"));
  return Array.from({ length: options.nodes }, (_, node) => {
    const path = join(folder, `node-${node}.jsonl`);
    const lines = Array.from({ length: options.linesPerNode }, (_, index) => {
      const number = node * options.linesPerNode +
        Math.floor(index / recorded.length);
      const call = number.toString(16).padStart(callIdentifierDigits, "0");
      const time = recordedTime + Math.round(index * lineMilliseconds);
      return recorded[index % recorded.length]!
        .replace(/"time":\d+/, `"time":${time}`)
        .replace(/"vm":"[^"]*"/, `"vm":"sidecar-${node}"`)
        .replace(/"call":"[^"]*"/, `"call":"${call}"`);
    });
    writeFileSync(path, `${lines.join("\n")}\n`);
    return path;
  });
}
