/**
 * Runs a caller as its own process: it sends open-loop load that a seed
 * determines, and abandons or repeats some of its calls.
 *
 * @module
 */
import process from "node:process";
import { onShutdownRequest } from "../common/on_shutdown_request.ts";
import { loadStandInSettings } from "../common/load_stand_in_settings.ts";
import { callerSettingsSchema } from "./caller_settings_schema.ts";
import { runCaller } from "./run_caller.ts";

const settings = loadStandInSettings(
  callerSettingsSchema,
  "Usage: node dist/stand_ins/caller/main.js --settings FILE",
);
let isStopped = false;
onShutdownRequest(() => {
  isStopped = true;
});
const report = await runCaller(settings, () => isStopped);
process.stdout.write(`${JSON.stringify(report)}\n`, () => process.exit(0));
