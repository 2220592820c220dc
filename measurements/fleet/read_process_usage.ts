import { readFileSync } from "node:fs";
import type { Child } from "../../stand_ins/deployment/child.ts";
import { parseProcessUsage } from "./parse_process_usage.ts";
import type { ProcessUsage } from "./process_usage.ts";

/** Returns the resources that a running process has used so far; throws if the process has ended. */
export function readProcessUsage(child: Child): ProcessUsage {
  return parseProcessUsage(
    readFileSync(`/proc/${child.process.pid}/stat`, "utf8"),
  );
}
