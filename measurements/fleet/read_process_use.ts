import { readFileSync } from "node:fs";
import type { Child } from "../../stand_ins/deployment/child.ts";
import { parseProcessUse } from "./parse_process_use.ts";
import type { ProcessUse } from "./process_use.ts";

/** Returns what a running process has used so far; throws where it has ended. */
export function readProcessUse(child: Child): ProcessUse {
  return parseProcessUse(
    readFileSync(`/proc/${child.process.pid}/stat`, "utf8"),
  );
}
