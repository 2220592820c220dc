/**
 * A caller: open-loop load by seed, with callers that hang up and repeat.
 *
 * @module
 */
import process from "node:process";
import { endWithParent } from "../common/end_with_parent.ts";
import { parseStandInArguments } from "../common/parse_stand_in_arguments.ts";
import { callerSettingsSchema } from "./caller_settings_schema.ts";
import { runCaller } from "./run_caller.ts";

const settings = parseStandInArguments(
  callerSettingsSchema,
  "Usage: node dist/stand_ins/caller/main.js --settings FILE",
);
let stopped = false;
endWithParent(() => {
  stopped = true;
});
const report = await runCaller(settings, () => stopped);
process.stdout.write(`${JSON.stringify(report)}\n`, () => process.exit(0));
